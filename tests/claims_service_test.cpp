#include "claims/claim_service.h"
#include "support/claim_fleet.h"
#include "support/seeded_check.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace snipespar::claims {

namespace {

template <class Decision>
bool is(const claim_decision& decision)
{
    return std::holds_alternative<Decision>(decision);
}

claim_limits small_limits()
{
    claim_limits limits;
    limits.partitions = 1;
    limits.journal.seal_bytes = 700;
    limits.journal.longest_call = std::chrono::hours(2);
    limits.journal.retention = std::chrono::hours(10);
    return limits;
}

} // namespace

class claims_service_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(claims_service_test);
    CPPUNIT_TEST(random_faults_never_run_a_key_twice);
    CPPUNIT_TEST(released_keys_run_after_faults_without_crashes);
    CPPUNIT_TEST(grant_is_repeated_until_its_receipt);
    CPPUNIT_TEST(seeds_of_earlier_failures);
    CPPUNIT_TEST(repeat_through_another_entry_gets_the_first_answer);
    CPPUNIT_TEST(repeat_after_crash_of_the_claimer_is_never_run);
    CPPUNIT_TEST(repeat_after_pause_of_the_owner_gets_the_first_answer);
    CPPUNIT_TEST(outage_refuses_immediately_and_the_repeat_runs);
    CPPUNIT_TEST(paused_claimer_does_not_run_an_abandoned_claim);
    CPPUNIT_TEST(different_request_with_the_same_key_is_refused);
    CPPUNIT_TEST(keys_are_remembered_for_the_retention_only);
    CPPUNIT_TEST(commits_stay_within_their_rate);
    CPPUNIT_TEST_SUITE_END();

public:
    void random_faults_never_run_a_key_twice()
    {
        CPPUNIT_ASSERT(seeded_check("claims_faults", 4201, 600, [] {
            claim_fleet fleet(*rc::gen::arbitrary<std::uint64_t>(), {}, small_limits());
            fleet.run(400);
            fleet.settle();
            repeat_all(fleet);
        }));
    }

    void released_keys_run_after_faults_without_crashes()
    {
        CPPUNIT_ASSERT(seeded_check("claims_no_crashes", 4202, 600, [] {
            claim_fleet::faults faults;
            faults.crashes = false;
            claim_fleet fleet(*rc::gen::arbitrary<std::uint64_t>(), faults, small_limits());
            fleet.run(400);
            fleet.settle();
            repeat_all(fleet);
        }));
    }

    void grant_is_repeated_until_its_receipt()
    {
        claim_service owner({host_id("owner"), 1}, small_limits());
        const claim_nonce nonce{{host_id("caller"), 1}, 1};
        const forwarded_claim claim{digest_of("k"), nonce, digest_of("r"), std::chrono::seconds(2)};
        const instant start{time_point(std::chrono::hours(1)), wall_time(std::chrono::hours(1))};
        auto actions = owner.on_message(host_id("caller"), claim, start);
        const auto read = std::get<read_object>(actions.at(0));
        actions = owner.on_read(0, read.operation, {read_status::absent, 0, {}}, start);
        const auto write = std::get<write_object>(actions.at(0));
        const claim_message grant = claim_reply{nonce, claim_granted{}};
        actions = owner.on_write(0, write.operation, {write_status::written, 1}, start);
        CPPUNIT_ASSERT(std::get<send_claim_message>(actions.at(0)).message == grant);
        const instant later{start.steady + std::chrono::seconds(2), start.wall};
        actions = owner.on_tick(later);
        CPPUNIT_ASSERT(std::get<send_claim_message>(actions.at(0)).message == grant);
        owner.on_message(host_id("caller"), reply_receipt{nonce}, later);
        CPPUNIT_ASSERT(owner.on_tick({later.steady + std::chrono::hours(1), later.wall}).empty());
    }

    // The failures were replies lost to a paused claimer, and a claim that arrived after its own
    // release.
    void seeds_of_earlier_failures()
    {
        claim_fleet::faults faults;
        faults.crashes = false;
        for (const std::uint64_t seed : {750ULL, 1244ULL, 5294707ULL, 697805139203729ULL}) {
            claim_fleet fleet(seed, faults, small_limits());
            fleet.run(400);
            fleet.settle();
            repeat_all(fleet);
        }
    }

    void repeat_through_another_entry_gets_the_first_answer()
    {
        claim_fleet fleet = fleet_without_faults();
        const auto nonce = fleet.begin(0, 1);
        fleet.drain();
        CPPUNIT_ASSERT(is<claim_in_progress>(fleet.call(1, 1)));
        fleet.finish(0, nonce, run_state::ran);
        fleet.settle();
        for (int entry = 0; entry < claim_fleet::entry_count; ++entry) {
            CPPUNIT_ASSERT(fleet.call(entry, 1) ==
                           claim_decision(claim_replayed{claim_fleet::answer_of(1)}));
        }
        CPPUNIT_ASSERT_EQUAL(1, fleet.executions(1));
    }

    void repeat_after_crash_of_the_claimer_is_never_run()
    {
        for (int entry = 0; entry < claim_fleet::entry_count; ++entry) {
            claim_fleet fleet = fleet_without_faults();
            CPPUNIT_ASSERT(is<claim_granted>(fleet.call(entry, 1)));
            fleet.crash(entry);
            CPPUNIT_ASSERT(is<claim_in_progress>(fleet.call((entry + 1) % 3, 1)));
            fleet.advance(small_limits().journal.longest_call);
            CPPUNIT_ASSERT(is<claim_outcome_unknown>(fleet.call(entry, 1)));
        }
    }

    void repeat_after_pause_of_the_owner_gets_the_first_answer()
    {
        for (int owner = 0; owner < claim_fleet::entry_count; ++owner) {
            claim_fleet fleet = fleet_without_faults();
            const int caller = (owner + 1) % claim_fleet::entry_count;
            const auto nonce = fleet.begin(caller, 1);
            fleet.drain();
            fleet.pause(owner, true);
            fleet.finish(caller, nonce, run_state::ran);
            for (int i = 0; i < 20; ++i) {
                fleet.drain();
                fleet.advance(std::chrono::milliseconds(250));
            }
            const int other = (owner + 2) % claim_fleet::entry_count;
            CPPUNIT_ASSERT(is<claim_replayed>(fleet.call(other, 1)));
        }
    }

    void outage_refuses_immediately_and_the_repeat_runs()
    {
        claim_fleet fleet = fleet_without_faults();
        fleet.set_outage(true);
        const auto first = fleet.call(0, 1);
        CPPUNIT_ASSERT(is<claim_refused>(first));
        CPPUNIT_ASSERT(std::get<claim_refused>(first).retry_after >=
                       duration(std::chrono::seconds(1)));
        fleet.advance(std::chrono::hours(1));
        CPPUNIT_ASSERT(is<claim_refused>(fleet.call(1, 1)));
        fleet.set_outage(false);
        fleet.advance(std::chrono::seconds(6));
        CPPUNIT_ASSERT(is<claim_granted>(fleet.call(2, 1)));
    }

    void paused_claimer_does_not_run_an_abandoned_claim()
    {
        claim_fleet fleet = fleet_without_faults();
        const auto nonce = fleet.begin(0, 1);
        fleet.pause(0, true);
        fleet.advance(std::chrono::minutes(1));
        const auto other = fleet.call(1, 1);
        fleet.pause(0, false);
        fleet.settle();
        const bool both = is<claim_granted>(other) && fleet.executions(1) > 1;
        CPPUNIT_ASSERT(!both);
        CPPUNIT_ASSERT(nonce.number == 1);
    }

    void different_request_with_the_same_key_is_refused()
    {
        claim_fleet fleet = fleet_without_faults();
        CPPUNIT_ASSERT(is<claim_granted>(fleet.call(0, 1, 7)));
        CPPUNIT_ASSERT(is<claim_mismatched>(fleet.call(1, 1, 8)));
        CPPUNIT_ASSERT(scoped_key(team_id("a"), route_id("r"), "k") !=
                       scoped_key(team_id("b"), route_id("r"), "k"));
        CPPUNIT_ASSERT(scoped_key(team_id("ab"), route_id("r"), "k") !=
                       scoped_key(team_id("a"), route_id("br"), "k"));
    }

    void keys_are_remembered_for_the_retention_only()
    {
        claim_limits limits = small_limits();
        limits.journal.retention = std::chrono::hours(1);
        claim_fleet fleet(1, no_faults(), limits);
        constexpr int keys = 40;
        for (int key = 0; key < keys; ++key) {
            const auto nonce = fleet.begin(key % 3, key);
            fleet.drain();
            fleet.advance(std::chrono::seconds(1));
            fleet.drain();
            fleet.finish(key % 3, nonce, run_state::ran);
        }
        fleet.settle();
        for (int key = 0; key < keys; ++key) {
            CPPUNIT_ASSERT(is<claim_replayed>(fleet.call(key % 3, key)));
        }
        fleet.advance(limits.journal.retention);
        CPPUNIT_ASSERT(is<claim_granted>(fleet.call(0, 3)));
        CPPUNIT_ASSERT(is<claim_granted>(fleet.call(1, 30)));
    }

    void commits_stay_within_their_rate()
    {
        claim_limits limits = small_limits();
        limits.journal.seal_bytes = 1 << 20;
        claim_fleet fleet(1, no_faults(), limits);
        constexpr int seconds = 20;
        for (int i = 0; i < seconds * 100; ++i) {
            fleet.begin(0, i);
            fleet.drain();
            fleet.advance(std::chrono::milliseconds(10));
        }
        const double allowed = limits.journal.commit_burst + limits.journal.commits_per_s * seconds;
        CPPUNIT_ASSERT(static_cast<double>(fleet.writes()) <= allowed + 1);
    }

private:
    static claim_fleet::faults no_faults() { return {false, false, false, false, false}; }
    static claim_fleet fleet_without_faults() { return {1, no_faults(), small_limits()}; }

    // Every key that did not run and whose claim was not lost in a crash runs now; the others
    // return the first answer or an unknown outcome.
    static void repeat_all(claim_fleet& fleet)
    {
        for (int key = 0; key < claim_fleet::key_count; ++key) {
            const auto decision = fleet.call(0, key);
            RC_ASSERT(!is<claim_refused>(decision));
            RC_ASSERT(!is<claim_mismatched>(decision));
            if (fleet.executions(key) > 0) {
                RC_ASSERT(!is<claim_granted>(decision));
            }
            else if (!fleet.orphaned(key)) {
                RC_ASSERT(is<claim_granted>(decision));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claims_service_test);

} // namespace snipespar::claims
