#include "gateway/watch_timings.h"

#include "platform/watch_plan.h"

#include <algorithm>
#include <chrono>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <iterator>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto step = milliseconds(10);
// The store answers within this time.
constexpr auto answer_time = milliseconds(10);

time_point at(int ms)
{
    return time_point() + milliseconds(ms);
}

/// A span in which the store takes requests and never answers them. Polls that waited before go on.
struct outage {
    time_point from;
    time_point until;
};

/// One watch behind such a store, in virtual time.
class silent_store {
public:
    /// `lost_history`: probability that the store no longer has the changes that a read asks for.
    silent_store(const platform::watch_timing& timing, std::vector<outage> outages,
                 std::uint64_t seed, double lost_history = 0)
        : plan_(timing, seed), outages_(std::move(outages)), random_(seed),
          lost_history_(lost_history)
    {
    }

    /// A change that the store acknowledges at this time, later than those before.
    void write(time_point when) { writes_.push_back(when); }

    void run_until(time_point end)
    {
        for (; now_ < end; now_ += step) {
            if (const auto due = plan_.next(now_)) {
                ++reads_;
                reads_under_way_[due->number] = {*due, now_, is_silent(now_)};
            }
            const auto active = reads_under_way_;
            for (const auto& [number, read] : active) {
                advance(read);
            }
        }
    }

    /// When the change of this number was learned, counted from 0.
    std::optional<time_point> learned(std::size_t change) const
    {
        return change < learned_.size() ? std::optional(learned_[change]) : std::nullopt;
    }

    int reads() const { return reads_; }

private:
    struct store_read {
        platform::planned_read plan;
        time_point began;
        bool is_lost = false;
    };

    bool is_silent(time_point when) const
    {
        return std::ranges::any_of(
            outages_, [when](const auto& span) { return span.from <= when && when < span.until; });
    }

    std::uint64_t revision() const
    {
        return static_cast<std::uint64_t>(
            std::distance(writes_.begin(), std::ranges::upper_bound(writes_, now_)));
    }

    void advance(const store_read& read)
    {
        const auto number = read.plan.number;
        const auto age = now_ - read.began;
        if (read.is_lost) {
            if (age >= read.plan.answer_within) {
                reads_under_way_.erase(number);
                plan_.on_failed(number, platform::read_failure::unavailable, now_);
            }
            return;
        }
        const bool has_answer = read.plan.kind != platform::read_kind::poll ||
                                revision() > read.plan.revision || age >= read.plan.wait;
        if (age < answer_time || !has_answer || is_silent(now_)) {
            return;
        }
        reads_under_way_.erase(number);
        if (!plan_.is_current(number)) {
            return;
        }
        if (read.plan.kind != platform::read_kind::list &&
            std::bernoulli_distribution(lost_history_)(random_)) {
            return plan_.on_failed(number, platform::read_failure::history_lost, now_);
        }
        learned_.resize(std::max<std::size_t>(learned_.size(), revision()), now_);
        plan_.on_used(number, revision(), now_);
    }

    platform::watch_plan plan_;
    std::vector<outage> outages_;
    std::mt19937_64 random_;
    double lost_history_ = 0;
    std::vector<time_point> writes_;
    std::vector<time_point> learned_;
    std::map<std::uint64_t, store_read> reads_under_way_;
    time_point now_;
    int reads_ = 0;
};

/// A kind of object: how it is watched, and what its changes are judged by.
struct watched_kind {
    std::string name;
    platform::watch_timing timing;
    /// From the acknowledgement until the change must be in use.
    duration bound{};
    /// Without an outage for so long before.
    duration calm{};
    /// From learning of a change until it is in use.
    duration use{};
};

std::vector<watched_kind> kinds_of(const store_bounds& bounds, duration evacuation)
{
    const auto timings = make_watch_timings(bounds);
    // A request that is sent just before the end of the grace begins to run this much later.
    const auto begin_time = seconds(1);
    return {
        // A large configuration is read in steps.
        {"config", timings.config, bounds.leave, bounds.recovery, milliseconds(400)},
        // The grace for removed entries.
        {"upstreams", timings.upstreams, bounds.leave, bounds.recovery, milliseconds(200)},
        {"versions", timings.versions, bounds.version, bounds.recovery + bounds.version,
         timings.version_grace + begin_time},
        {"evacuations", timings.evacuations, evacuation, bounds.recovery, {}},
    };
}

// Bounds of the users' deployments of 14, 32 and 100 hosts.
const std::vector<store_bounds> all_bounds{{seconds(3), seconds(2), seconds(5)},
                                           {seconds(4), seconds(3), seconds(5)},
                                           {seconds(5), seconds(4), seconds(5)}};

/// The first moment from which a change is judged.
time_point judged_from(const watched_kind& kind, time_point acknowledged,
                       const std::vector<outage>& outages)
{
    auto moment = acknowledged + kind.bound;
    for (const auto& span : outages) {
        if (span.from <= moment && moment < span.until + kind.calm) {
            moment = span.until + kind.calm;
        }
    }
    return moment;
}

long long in_ms(duration time)
{
    return std::chrono::duration_cast<milliseconds>(time).count();
}

/// The first violation of each kind of object.
class violations {
public:
    /// Plays these outages and changes, and checks when each change is in use.
    void check(const watched_kind& kind, const std::vector<outage>& outages,
               const std::vector<time_point>& changes, std::uint64_t seed = 1,
               double lost_history = 0)
    {
        silent_store store(kind.timing, outages, seed, lost_history);
        for (const auto change : changes) {
            store.write(change);
        }
        store.run_until(std::max(changes.back(), outages.back().until) + seconds(12));
        for (std::size_t i = 0; i < changes.size(); ++i) {
            const auto learned = store.learned(i);
            const auto due = judged_from(kind, changes[i], outages);
            if (!learned || *learned + kind.use > due) {
                const auto learned_at =
                    learned ? fmt::format("at {} ms", in_ms(learned->time_since_epoch())) : "never";
                first_.try_emplace(
                    kind.name,
                    fmt::format(
                        "{}, bound {} ms, seed {}: acknowledged at {} ms, learned {}, in use "
                        "{} ms later, due at {} ms\n",
                        kind.name, in_ms(kind.bound), seed, in_ms(changes[i].time_since_epoch()),
                        learned_at, in_ms(kind.use), in_ms(due.time_since_epoch())));
            }
        }
    }

    void assert_none() const
    {
        std::string all;
        for (const auto& [kind, violation] : first_) {
            all += violation;
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), all);
    }

private:
    std::map<std::string, std::string> first_;
};

} // namespace

/// The bounds of all kinds of objects that a gateway watches, while the store loses polls.
class gateway_watch_timings_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_watch_timings_test);
    CPPUNIT_TEST(change_after_a_short_outage_is_used_in_time);
    CPPUNIT_TEST(change_is_used_in_time_if_the_repeated_poll_is_lost_too);
    CPPUNIT_TEST(changes_are_used_in_time_over_series_of_outages);
    CPPUNIT_TEST(reads_of_a_storm_of_announcements_fit_the_rate_of_the_store);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a poll that the store lost in an outage too short for anything else to fail:
    // its watch missed all changes for up to 26.5 s.
    void change_after_a_short_outage_is_used_in_time()
    {
        violations found;
        for (const auto& bounds : all_bounds) {
            for (const auto& kind : kinds_of(bounds, bounds.leave)) {
                // The outage begins before or behind the poll that follows a change.
                for (int from = 3850; from <= 5000; from += 10) {
                    for (const int later : {0, 10, 500, 1500, 3000, 9000}) {
                        const std::vector<outage> outages{{at(from), at(from + 200)}};
                        found.check(kind, outages, {at(3850), at(from + 200 + later)});
                    }
                }
            }
        }
        found.assert_none();
    }

    // Guards against a repeat that falls into a second outage and waits as long as the first poll.
    void change_is_used_in_time_if_the_repeated_poll_is_lost_too()
    {
        violations found;
        for (const auto& bounds : all_bounds) {
            for (const auto& kind : kinds_of(bounds, bounds.leave)) {
                for (int second = 4400; second <= 9000; second += 10) {
                    const std::vector<outage> outages{{at(3860), at(4100)},
                                                      {at(second), at(second + 200)}};
                    found.check(kind, outages, {at(3850), at(second + 200)});
                    found.check(kind, outages, {at(3850), at(second + 1900)});
                }
            }
        }
        found.assert_none();
    }

    // Guards against outages that overlap with pauses, repeats, and lists after a lost history.
    void changes_are_used_in_time_over_series_of_outages()
    {
        constexpr std::uint64_t seeds = 300;
        violations found;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            std::mt19937_64 random(seed);
            const auto between = [&](int low, int high) {
                return std::uniform_int_distribution(low, high)(random);
            };
            std::vector<outage> outages;
            std::vector<time_point> changes;
            int now = 1000;
            while (now < 60'000) {
                const int from = now + between(50, between(0, 1) == 0 ? 600 : 6000);
                const int until = from + between(20, between(0, 1) == 0 ? 300 : 4500);
                // Changes are acknowledged while the store is sound.
                for (int change = now + between(0, 400); change < from;
                     change += between(10, 900)) {
                    changes.push_back(at(change));
                }
                outages.push_back({at(from), at(until)});
                now = until;
            }
            changes.push_back(at(now));
            const auto& bounds = all_bounds[seed % all_bounds.size()];
            for (const auto& kind : kinds_of(bounds, bounds.leave)) {
                found.check(kind, outages, changes, seed, seed % 4 == 0 ? 0.3 : 0);
            }
        }
        found.assert_none();
    }

    // Guards against polls that exceed the store's rate, and are refused, as all gateways poll
    // after each announcement.
    void reads_of_a_storm_of_announcements_fit_the_rate_of_the_store()
    {
        constexpr int gateways = 550;
        constexpr double store_reads_per_s = 2000;
        constexpr auto span = seconds(60);
        double reads_per_s = 0;
        std::string rates;
        const auto& bounds = all_bounds.back();
        for (const auto& kind : kinds_of(bounds, bounds.leave)) {
            // Entries of upstreams change all the time, and a version is announced every 200 ms.
            const auto interval = kind.name == "upstreams"  ? milliseconds(50)
                                  : kind.name == "versions" ? milliseconds(200)
                                                            : milliseconds(10'000);
            silent_store store(kind.timing, {}, 1);
            for (auto change = at(1000); change < at(0) + span; change += interval) {
                store.write(change);
            }
            store.run_until(at(0) + span);
            const double rate = static_cast<double>(store.reads()) / span.count();
            rates += fmt::format("{} {:.2f} ", kind.name, rate);
            reads_per_s += rate;
        }
        CPPUNIT_ASSERT_MESSAGE(fmt::format("reads a second of a gateway: {}", rates),
                               reads_per_s * gateways < store_reads_per_s);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_watch_timings_test);

} // namespace snipespar::gateway
