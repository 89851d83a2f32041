#include "poison/placement.h"
#include "poison/suspect_codec.h"
#include "poison/suspect_record.h"
#include "support/seeded_check.h"

#include <array>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

namespace snipespar {

namespace {

using namespace std::chrono_literals;
using poison::fingerprint;
using poison::run_verdict;
using poison::suspect_digest;
using poison::suspicion;

constexpr fingerprint poison_request = 1;

// Upstreams with agents, and entries, that exchange digests over an unreliable network.
class poisoned_fleet {
public:
    poisoned_fleet(std::size_t upstreams, std::uint32_t loss_percent, std::uint64_t seed)
        : loss_percent_(loss_percent), random_(seed)
    {
        for (std::size_t i = 0; i < upstreams; ++i) {
            const upstream_id id("u" + std::to_string(i));
            candidates_.push_back({id, failure_domain_id("d" + std::to_string(i % 3))});
            agents_.emplace(id, agent{poison::suspect_record(id, i), {}, 0});
        }
    }

    // Advances 10 ms: sends a copy of the poison request and a harmless one through random entries.
    void step()
    {
        now_ += 10ms;
        deliver_gossip();
        send(poison_request);
        send(2 + random_() % 20);
        for (auto& [id, upstream] : agents_) {
            run(id, upstream);
        }
    }

    int crashes() const { return crash_count_; }
    std::size_t suspected_at_entries() const
    {
        std::size_t suspected = 0;
        for (const auto& table : entries_) {
            for (fingerprint print = 2; print < 22; ++print) {
                suspected += table.suspicion_of(print, now_) == suspicion::none ? 0 : 1;
            }
        }
        return suspected;
    }

private:
    struct agent {
        poison::suspect_record record;
        std::vector<std::pair<fingerprint, bool>> batch;
        int steps_down = 0;
    };
    struct message {
        bool to_entries = false;
        suspect_digest digest;
        time_point due;
    };

    void gossip(const suspect_digest& digest, bool to_entries)
    {
        if (random_() % 100 >= loss_percent_) {
            const auto delay = std::chrono::milliseconds(random_() % 100);
            gossip_.push_back({to_entries, digest, now_ + delay});
        }
    }

    void deliver_gossip()
    {
        std::deque<message> later;
        for (auto& item : std::exchange(gossip_, {})) {
            if (item.due > now_) {
                later.push_back(std::move(item));
                continue;
            }
            auto& entry = entries_.at(random_() % entries_.size());
            entry.merge(item.digest, now_);
            for (auto& [id, upstream] : agents_) {
                if (!item.to_entries && random_() % 100 >= loss_percent_) {
                    upstream.record.merge(item.digest, now_);
                }
            }
        }
        gossip_.insert(gossip_.end(), later.begin(), later.end());
        auto& sender = entries_.at(random_() % entries_.size());
        gossip(sender.digest(now_), random_() % 2 == 0);
    }

    void send(fingerprint print)
    {
        const auto& table = entries_.at(random_() % entries_.size());
        const auto placed = poison::place_request(print, candidates_);
        for (const auto& choice : poison::allowed_upstreams(print, placed, table, now_)) {
            auto& target = agents_.at(choice.upstream);
            const auto verdict = target.record.verdict(print, choice.only_candidate, now_);
            if (target.steps_down > 0 || verdict.how == run_verdict::kind::refuse) {
                continue;
            }
            const bool alone = choice.alone || verdict.how == run_verdict::kind::run_alone;
            if (alone ? target.batch.empty()
                      : target.batch.empty() || !target.batch.front().second) {
                target.batch.emplace_back(print, alone);
            }
            return;
        }
    }

    void run(const upstream_id&, agent& upstream)
    {
        if (upstream.steps_down > 0) {
            --upstream.steps_down;
            return;
        }
        std::vector<fingerprint> prints;
        prints.reserve(upstream.batch.size());
        for (const auto& [print, alone] : upstream.batch) {
            prints.push_back(print);
        }
        const bool crashed = std::ranges::find(prints, poison_request) != prints.end();
        if (crashed) {
            ++crash_count_;
            upstream.steps_down = 5;
            gossip(upstream.record.on_crash(prints, now_), true);
        }
        else if (!upstream.batch.empty() && upstream.batch.front().second) {
            gossip(upstream.record.on_clean_run_alone(prints.front(), now_), true);
        }
        upstream.batch.clear();
    }

    std::uint32_t loss_percent_;
    std::mt19937_64 random_;
    time_point now_{};
    std::vector<poison::placement_candidate> candidates_;
    std::map<upstream_id, agent> agents_;
    std::array<poison::suspect_table, 3> entries_;
    std::deque<message> gossip_;
    int crash_count_ = 0;
};

suspect_digest any_digest()
{
    suspect_digest digest;
    const int reports = *rc::gen::inRange(0, 5);
    for (int i = 0; i < reports; ++i) {
        const poison::crash_id id{upstream_id(*rc::gen::element<std::string>("u", "v", "w")),
                                  *rc::gen::inRange<std::uint64_t>(0, 3)};
        digest.push_back({*rc::gen::inRange<fingerprint>(0, 4),
                          {{id, *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>(),
                            std::chrono::seconds(*rc::gen::inRange(1, 100))}}});
    }
    return digest;
}

} // namespace

class poison_suspects_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(poison_suspects_test);
    CPPUNIT_TEST(a_poison_request_crashes_at_most_two_upstreams);
    CPPUNIT_TEST(harmless_requests_are_not_suspected_forever);
    CPPUNIT_TEST(a_single_upstream_crashes_at_most_twice);
    CPPUNIT_TEST(merging_does_not_depend_on_order_or_repetition);
    CPPUNIT_TEST(a_clean_run_alone_clears_and_two_crashes_refuse);
    CPPUNIT_TEST(a_confirmed_cause_clears_the_rest_of_its_batches);
    CPPUNIT_TEST(refusals_expire_and_the_table_is_bounded);
    CPPUNIT_TEST(a_late_digest_never_prolongs_a_refusal);
    CPPUNIT_TEST(codec_round_trips_digests_and_rejects_malformed_input);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_poison_request_crashes_at_most_two_upstreams()
    {
        CPPUNIT_ASSERT(seeded_check("poison deaths", 21, 200, [] {
            poisoned_fleet fleet(*rc::gen::inRange<std::size_t>(2, 9), *rc::gen::inRange(0U, 101U),
                                 *rc::gen::arbitrary<std::uint64_t>());
            for (int i = 0; i < 300; ++i) {
                fleet.step();
            }
            RC_ASSERT(fleet.crashes() <= 2);
            RC_ASSERT(fleet.crashes() >= 1);
        }));
    }

    void harmless_requests_are_not_suspected_forever()
    {
        CPPUNIT_ASSERT(seeded_check("harmless requests", 22, 50, [] {
            poisoned_fleet fleet(6, 30, *rc::gen::arbitrary<std::uint64_t>());
            for (int i = 0; i < 2000; ++i) {
                fleet.step();
            }
            RC_ASSERT(fleet.suspected_at_entries() == 0U);
        }));
    }

    void a_single_upstream_crashes_at_most_twice()
    {
        poisoned_fleet fleet(1, 50, 1);
        for (int i = 0; i < 1000; ++i) {
            fleet.step();
        }
        CPPUNIT_ASSERT_EQUAL(2, fleet.crashes());
    }

    void merging_does_not_depend_on_order_or_repetition()
    {
        CPPUNIT_ASSERT(seeded_check("suspect merge", 23, 500, [] {
            const time_point now{};
            const auto first = any_digest();
            const auto second = any_digest();
            poison::suspect_table left;
            left.merge(first, now);
            left.merge(second, now);
            poison::suspect_table right;
            right.merge(second, now);
            right.merge(first, now);
            right.merge(second, now);
            RC_ASSERT(left.digest(now) == right.digest(now));
            RC_ASSERT(right.merge(first, now).empty());
        }));
    }

    void a_clean_run_alone_clears_and_two_crashes_refuse()
    {
        const time_point now{};
        const std::array<fingerprint, 2> batch{5, 6};
        poison::suspect_record record(upstream_id("u"), 1);
        const auto reported = record.on_crash(batch, now);
        CPPUNIT_ASSERT(record.verdict(5, false, now).how == run_verdict::kind::refuse);
        poison::suspect_record other(upstream_id("v"), 1);
        other.merge(reported, now);
        CPPUNIT_ASSERT(other.verdict(5, false, now).how == run_verdict::kind::run_alone);
        record.merge(other.on_clean_run_alone(5, now), now);
        CPPUNIT_ASSERT(record.verdict(5, false, now).how == run_verdict::kind::run);
        other.on_crash(std::array<fingerprint, 1>{6}, now);
        const auto refused = other.verdict(6, true, now);
        CPPUNIT_ASSERT(refused.how == run_verdict::kind::refuse);
        CPPUNIT_ASSERT(refused.retry_after == poison::suspect_limits{}.lifetime);
    }

    void a_confirmed_cause_clears_the_rest_of_its_batches()
    {
        const time_point now{};
        poison::suspect_table table;
        table.on_crash({upstream_id("u"), 1}, std::array<fingerprint, 3>{5, 6, 7}, now);
        CPPUNIT_ASSERT(table.suspicion_of(6, now) == suspicion::suspect);
        table.on_crash({upstream_id("v"), 1}, std::array<fingerprint, 1>{5}, now);
        CPPUNIT_ASSERT(table.suspicion_of(5, now) == suspicion::refused);
        CPPUNIT_ASSERT(table.suspicion_of(6, now) == suspicion::none);
    }

    void refusals_expire_and_the_table_is_bounded()
    {
        const time_point now{};
        poison::suspect_table table({.lifetime = 10s, .max_fingerprints = 3});
        table.on_crash({upstream_id("u"), 1}, std::array<fingerprint, 2>{1, 2}, now);
        table.on_crash({upstream_id("v"), 1}, std::array<fingerprint, 2>{1, 3}, now);
        table.on_crash({upstream_id("w"), 1}, std::array<fingerprint, 3>{4, 5, 6}, now + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, table.size());
        CPPUNIT_ASSERT(table.suspicion_of(1, now + 2s) == suspicion::refused);
        CPPUNIT_ASSERT(table.suspicion_of(1, now + 10s) == suspicion::none);
        table.on_tick(now + 11s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.size());
    }

    void a_late_digest_never_prolongs_a_refusal()
    {
        const time_point now{};
        poison::suspect_table table({.lifetime = 10s});
        const auto reported =
            table.on_crash({upstream_id("u"), 1}, std::array<fingerprint, 1>{1}, now);
        table.merge(reported, now + 5s);
        CPPUNIT_ASSERT(table.suspicion_of(1, now + 10s) == suspicion::none);
    }

    void codec_round_trips_digests_and_rejects_malformed_input()
    {
        CPPUNIT_ASSERT(seeded_check("suspect codec", 24, 200, [] {
            const auto digest = any_digest();
            const auto decoded = poison::decode_suspect_digest(poison::encode(digest));
            RC_ASSERT(decoded.ok());
            RC_ASSERT(*decoded == digest);
        }));
        for (const char* text :
             {"{}", "[1]", "[[1]]", "[[1,[[]]]]", "[[-1,[]]]", R"([[1,[["u",1,true,false,-5]]]])",
              R"([[1,[["u",1,1,0,5]]]])", R"([[1,[["u",1,true,false,99999999999999]]]])"}) {
            const auto value = nlohmann::json::parse(text);
            CPPUNIT_ASSERT(!poison::decode_suspect_digest(value).ok());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(poison_suspects_test);

} // namespace snipespar
