#include "gateway/crash_guard.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds(50)};
const request_prints crasher{7, {}};
const request_prints harmless{8, {}};
// Between two crashes by one part.
constexpr auto apart = milliseconds(120);
constexpr poison::fingerprint bad_part = poison::part_flag | 21;
constexpr poison::fingerprint common_part = poison::part_flag | 22;
constexpr poison::fingerprint rare_part = poison::part_flag | 23;

upstream_id id(int number)
{
    return upstream_id("i-" + std::to_string(number));
}

// Both requests were in flight at an upstream whose process ends.
void crash(crash_guard& guard, int number, time_point now)
{
    guard.on_broken(crasher, id(number), 1, now, now);
    guard.on_broken(harmless, id(number), 1, now, now);
    guard.on_upstream_ended(id(number), now + milliseconds(400));
}

// How long requests had run when a test lets their upstream end.
constexpr auto run_time = milliseconds(50);

// The process of an upstream ends under these requests.
void crash_under(crash_guard& guard, int number, const std::vector<request_prints>& requests,
                 time_point now)
{
    for (const auto& prints : requests) {
        guard.on_broken(prints, id(number), 1, now - run_time, now);
    }
    guard.on_upstream_ended(id(number), now);
}

} // namespace

class gateway_crash_guard_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_crash_guard_test);
    CPPUNIT_TEST(request_is_refused_after_three_crashes);
    CPPUNIT_TEST(request_that_met_crashes_at_the_same_time_is_tried_once);
    CPPUNIT_TEST(broken_connection_to_a_living_upstream_is_no_crash);
    CPPUNIT_TEST(harmless_request_is_cleared_by_its_response);
    CPPUNIT_TEST(crashes_seen_by_several_gateways_add_up);
    CPPUNIT_TEST(findings_expire);
    CPPUNIT_TEST(part_is_refused_though_no_two_requests_are_alike);
    CPPUNIT_TEST(part_that_sound_requests_carry_is_not_refused);
    CPPUNIT_TEST(part_in_flight_beside_the_cause_is_not_refused);
    CPPUNIT_TEST(request_that_crashes_by_itself_does_not_condemn_its_parts);
    CPPUNIT_TEST(cleared_part_is_refused_after_later_crashes);
    CPPUNIT_TEST(trial_tells_parts_apart_that_always_came_together);
    CPPUNIT_TEST(clearance_reaches_other_gateways);
    CPPUNIT_TEST(part_that_was_sound_survives_the_loss_of_all_engines);
    CPPUNIT_TEST(new_gateway_is_not_told_of_parts_that_others_serve);
    CPPUNIT_TEST(equal_requests_survive_the_loss_of_all_engines);
    CPPUNIT_TEST(abandoned_run_counts_only_if_its_server_has_crashed);
    CPPUNIT_TEST(team_whose_copies_end_well_clears_only_its_own_request);
    CPPUNIT_TEST(server_that_is_back_under_its_name_can_crash_again);
    CPPUNIT_TEST(clearance_is_sent_before_weak_suspects);
    CPPUNIT_TEST(part_that_turns_bad_is_refused_and_tried_now_and_then);
    CPPUNIT_TEST_SUITE_END();

public:
    void request_is_refused_after_three_crashes()
    {
        crash_guard guard;
        CPPUNIT_ASSERT(guard.is_empty());
        crash(guard, 1, start);
        crash(guard, 2, start + seconds(1));
        CPPUNIT_ASSERT(!guard.is_refused(crasher, start + seconds(2)));
        crash(guard, 3, start + seconds(2));
        CPPUNIT_ASSERT(guard.is_refused(crasher, start + seconds(3)));
        CPPUNIT_ASSERT(guard.refusal_time(crasher, start + seconds(3)) > seconds(60));
        CPPUNIT_ASSERT(!guard.is_refused({99, {}}, start + seconds(3)));
    }

    // Guards against callers that are told to stay away for minutes after a loss of power.
    void request_that_met_crashes_at_the_same_time_is_tried_once()
    {
        crash_guard guard;
        for (int i = 0; i < 3; ++i) {
            crash_under(guard, i, {crasher}, start);
        }
        CPPUNIT_ASSERT(guard.is_refused(crasher, start));
        CPPUNIT_ASSERT(guard.refusal_time(crasher, start) <= seconds(2));
        CPPUNIT_ASSERT(!guard.begin_trial(crasher, 1, 0, start));
        CPPUNIT_ASSERT(guard.begin_trial(crasher, 1, 0, start + seconds(1)));
        crash_under(guard, 3, {crasher}, start + seconds(1) + run_time);
        CPPUNIT_ASSERT(guard.refusal_time(crasher, start + seconds(2)) > seconds(60));
        for (int i = 2; i < 60; ++i) {
            CPPUNIT_ASSERT(!guard.begin_trial(crasher, 1, 0, start + seconds(i)));
        }
    }

    void broken_connection_to_a_living_upstream_is_no_crash()
    {
        crash_guard guard;
        for (int i = 0; i < 10; ++i) {
            guard.on_broken(crasher, id(i), 1, start, start);
        }
        CPPUNIT_ASSERT(!guard.is_refused(crasher, start));
        // Upstreams that leave later have not crashed because of it.
        guard.on_tick(start + seconds(6));
        CPPUNIT_ASSERT(guard.is_empty());
        for (int i = 0; i < 10; ++i) {
            guard.on_upstream_ended(id(i), start + seconds(6));
        }
        CPPUNIT_ASSERT(!guard.is_refused(crasher, start + seconds(6)));
    }

    void harmless_request_is_cleared_by_its_response()
    {
        crash_guard guard;
        crash(guard, 1, start);
        crash(guard, 2, start);
        guard.on_completed(harmless, start + seconds(1));
        crash(guard, 3, start + seconds(2));
        CPPUNIT_ASSERT(guard.is_refused(crasher, start + seconds(3)));
        CPPUNIT_ASSERT(!guard.is_refused(harmless, start + seconds(3)));
    }

    // The first announcement is lost.
    void crashes_seen_by_several_gateways_add_up()
    {
        std::vector<crash_guard> guards(3);
        for (int i = 0; i < 3; ++i) {
            guards[static_cast<std::size_t>(i)].on_broken(crasher, id(i), 1, start, start);
            guards[static_cast<std::size_t>(i)].on_upstream_ended(id(i), start);
        }
        for (auto& from : guards) {
            CPPUNIT_ASSERT(!from.next_announcement(start).empty());
            const auto digest = from.next_announcement(start);
            for (auto& to : guards) {
                to.merge(digest, start);
                to.merge(digest, start);
            }
            CPPUNIT_ASSERT(!from.next_announcement(start).empty());
            CPPUNIT_ASSERT(from.next_announcement(start).empty());
        }
        for (const auto& guard : guards) {
            CPPUNIT_ASSERT(guard.is_refused(crasher, start));
        }
    }

    void findings_expire()
    {
        crash_guard guard;
        for (int i = 0; i < 3; ++i) {
            crash(guard, i, start);
        }
        CPPUNIT_ASSERT(!guard.is_refused(crasher, start + std::chrono::minutes(11)));
        guard.on_tick(start + std::chrono::minutes(11));
        CPPUNIT_ASSERT(guard.is_empty());
    }

    // Guards against evidence that is kept by whole request only.
    void part_is_refused_though_no_two_requests_are_alike()
    {
        crash_guard guard;
        for (int i = 0; i < 4; ++i) {
            CPPUNIT_ASSERT(!guard.is_refused({1000, {common_part, bad_part}}, start));
            crash_under(guard, i, {{poison::fingerprint(100 + i), {common_part, bad_part}}},
                        start + apart * i);
            guard.on_completed({poison::fingerprint(200 + i), {common_part}}, start);
        }
        CPPUNIT_ASSERT(guard.is_refused({1000, {common_part, bad_part}}, start));
        CPPUNIT_ASSERT(!guard.is_refused({1000, {common_part}}, start));
    }

    void part_that_sound_requests_carry_is_not_refused()
    {
        crash_guard guard;
        for (int i = 0; i < 40; ++i) {
            crash_under(guard, i, {{poison::fingerprint(100 + i), {common_part}}},
                        start + apart * i);
            if (i % 3 == 2) {
                guard.on_completed({poison::fingerprint(200 + i), {common_part}}, start);
            }
            CPPUNIT_ASSERT(!guard.is_refused({1000, {common_part}}, start));
        }
    }

    // Its requests met most of the crashes, and none of them has ended well since.
    void part_in_flight_beside_the_cause_is_not_refused()
    {
        crash_guard guard;
        for (int i = 0; i < 6; ++i) {
            std::vector<request_prints> requests{{poison::fingerprint(100 + i), {bad_part}}};
            if (i != 2) {
                requests.push_back({poison::fingerprint(200 + i), {rare_part}});
            }
            crash_under(guard, i, requests, start + apart * i);
        }
        CPPUNIT_ASSERT(guard.is_refused({1000, {bad_part}}, start));
        CPPUNIT_ASSERT(!guard.is_refused({1000, {rare_part}}, start));
    }

    void request_that_crashes_by_itself_does_not_condemn_its_parts()
    {
        crash_guard guard;
        for (int i = 0; i < 4; ++i) {
            crash_under(guard, i, {{7, {rare_part}}}, start + apart * i);
        }
        CPPUNIT_ASSERT(guard.is_refused({7, {rare_part}}, start));
        CPPUNIT_ASSERT(!guard.is_refused({1000, {rare_part}}, start));
    }

    void cleared_part_is_refused_after_later_crashes()
    {
        crash_guard guard;
        for (int i = 0; i < 20; ++i) {
            crash_under(guard, i, {{poison::fingerprint(100 + i), {rare_part}}}, start + apart * i);
            if (i < 16) {
                guard.on_completed({1000, {rare_part}}, start);
            }
        }
        CPPUNIT_ASSERT(guard.is_refused({1001, {rare_part}}, start));
    }

    void trial_tells_parts_apart_that_always_came_together()
    {
        crash_guard guard;
        for (int i = 0; i < 4; ++i) {
            crash_under(guard, i, {{poison::fingerprint(100 + i), {bad_part, rare_part}}},
                        start + apart * i);
        }
        const request_prints sound{1000, {rare_part}};
        CPPUNIT_ASSERT(guard.is_refused(sound, start));
        // Not by a request that carries both, and by about one gateway only.
        CPPUNIT_ASSERT(!guard.begin_trial({1001, {bad_part, rare_part}}, 1, 0, start));
        CPPUNIT_ASSERT(!guard.begin_trial(sound, 5, 0.3, start));
        // One draw in each interval.
        CPPUNIT_ASSERT(!guard.begin_trial(sound, 5, 0.1, start + milliseconds(500)));
        CPPUNIT_ASSERT(guard.begin_trial(sound, 5, 0.1, start + seconds(1)));
        CPPUNIT_ASSERT(!guard.begin_trial(sound, 5, 0.1, start + milliseconds(1500)));
        guard.on_completed(sound, start + milliseconds(1600));
        CPPUNIT_ASSERT(!guard.is_refused(sound, start + milliseconds(1600)));
        CPPUNIT_ASSERT(guard.is_refused({1002, {bad_part}}, start + milliseconds(1600)));
        // Nothing is left to tell apart.
        CPPUNIT_ASSERT(!guard.begin_trial({1002, {bad_part}}, 1, 0, start + seconds(5)));
    }

    // Guards against common parts that are refused for good after a loss of power, as nothing can
    // clear them any more.
    void part_that_was_sound_survives_the_loss_of_all_engines()
    {
        crash_guard guard;
        guard.on_sound({common_part}, start - seconds(1));
        for (int i = 0; i < 9; ++i) {
            crash_under(guard, i, {{poison::fingerprint(100 + i), {common_part}}},
                        start + milliseconds(10 * i));
        }
        CPPUNIT_ASSERT(!guard.is_refused({1000, {common_part}}, start + milliseconds(200)));
    }

    void new_gateway_is_not_told_of_parts_that_others_serve()
    {
        crash_guard guard;
        guard.on_sound({common_part}, start);
        for (int i = 0; i < 9; ++i) {
            crash_under(guard, i, {{poison::fingerprint(100 + i), {common_part}}}, start);
        }
        CPPUNIT_ASSERT(!guard.is_refused({1000, {common_part}}, start));
        CPPUNIT_ASSERT(guard.refused_findings(start).empty());
    }

    // Guards against popular requests that are refused for good, as nothing can clear them.
    void equal_requests_survive_the_loss_of_all_engines()
    {
        crash_guard guard;
        for (int i = 0; i < 9; ++i) {
            crash_under(guard, i, {{7, {rare_part}}}, start);
        }
        const auto now = start + seconds(2);
        CPPUNIT_ASSERT(guard.begin_trial({7, {rare_part}}, 1, 0, now));
        guard.on_completed({7, {rare_part}}, now);
        CPPUNIT_ASSERT(!guard.is_refused({7, {rare_part}}, now));
        // One that crashes engines at other times as well is not tried.
        for (int i = 0; i < 4; ++i) {
            crash_under(guard, 20 + i, {{8, {}}}, now + seconds(i));
        }
        CPPUNIT_ASSERT(guard.is_refused({8, {}}, now + seconds(8)));
        CPPUNIT_ASSERT(!guard.begin_trial({8, {}}, 1, 0, now + seconds(8)));
    }

    // Guards against requests that are refused, as their callers left before servers were replaced
    // or cut off.
    void abandoned_run_counts_only_if_its_server_has_crashed()
    {
        crash_guard guard;
        for (int i = 0; i < 3; ++i) {
            guard.on_abandoned(harmless, id(i), 1, start, start);
            CPPUNIT_ASSERT(guard.has_abandoned_runs(id(i)));
            CPPUNIT_ASSERT(!guard.on_upstream_unreachable(id(i), start));
            guard.on_abandoned(crasher, id(10 + i), 1, start, start);
            guard.on_upstream_ended(id(10 + i), start);
        }
        CPPUNIT_ASSERT(!guard.is_refused(harmless, start));
        CPPUNIT_ASSERT(guard.is_refused(crasher, start));
    }

    // Guards against the evidence on one team's request being cleared by equal ones of others.
    void team_whose_copies_end_well_clears_only_its_own_request()
    {
        crash_guard guard;
        const request_prints bad{7, {}, 70};
        const request_prints sound{8, {}, 70};
        for (int i = 0; i < 3; ++i) {
            crash_under(guard, i, {bad}, start + seconds(i));
            guard.on_completed(sound, start + seconds(i));
        }
        CPPUNIT_ASSERT(guard.is_refused(bad, start + seconds(3)));
        CPPUNIT_ASSERT(!guard.is_refused(sound, start + seconds(3)));
    }

    // Guards against crashes that are counted once, as the entry of the restarted server has not
    // arrived yet.
    void server_that_is_back_under_its_name_can_crash_again()
    {
        crash_guard guard;
        for (int i = 0; i < 3; ++i) {
            crash_under(guard, 1, {crasher}, start + seconds(2 * i));
        }
        CPPUNIT_ASSERT(guard.is_refused(crasher, start + seconds(5)));
        // Several of its copies in flight at one crash count once.
        for (int i = 0; i < 3; ++i) {
            crash_under(guard, 2, {harmless}, start);
        }
        CPPUNIT_ASSERT(!guard.is_refused(harmless, start));
    }

    // Guards against clearances that wait behind hundreds of requests in flight at one loss.
    void clearance_is_sent_before_weak_suspects()
    {
        crash_guard guard;
        crash_guard other;
        for (int i = 0; i < 4; ++i) {
            crash_under(guard, i, {{poison::fingerprint(100 + i), {rare_part}}}, start + apart * i);
        }
        const auto now = start + seconds(1);
        other.merge(guard.next_announcement(now), now);
        CPPUNIT_ASSERT(other.is_refused({1000, {rare_part}}, now));
        std::vector<request_prints> requests;
        constexpr int in_flight = 300;
        requests.reserve(in_flight);
        for (int i = 0; i < in_flight; ++i) {
            requests.push_back({poison::fingerprint(1000 + i), {}});
        }
        crash_under(guard, 9, requests, now);
        guard.on_completed({999, {rare_part}}, now);
        other.merge(guard.next_announcement(now), now);
        CPPUNIT_ASSERT(!other.is_refused({2000, {rare_part}}, now));
    }

    // The users allow three requests after their bound.
    void part_that_turns_bad_is_refused_and_tried_now_and_then()
    {
        crash_guard guard;
        guard.on_sound({bad_part}, start - seconds(1));
        // More crashes than are kept.
        for (int i = 0; i < 45; ++i) {
            crash_under(guard, i, {{poison::fingerprint(100 + i), {bad_part}}},
                        start + milliseconds(100 * i));
        }
        const auto now = start + milliseconds(100 * 44);
        CPPUNIT_ASSERT(guard.is_refused({1000, {bad_part}}, now));
        int trials = 0;
        for (auto at = now; at < now + seconds(60); at += milliseconds(100)) {
            if (guard.begin_trial({1000, {bad_part}}, 1, 0, at)) {
                ++trials;
                crash_under(guard, 100 + trials, {{poison::fingerprint(2000 + trials), {bad_part}}},
                            at);
            }
        }
        CPPUNIT_ASSERT(trials >= 1 && trials <= 3);
        // A gateway that has seen no sound answer with it does not try.
        crash_guard other;
        other.merge(guard.refused_findings(now), now);
        CPPUNIT_ASSERT(other.is_refused({1000, {bad_part}}, now));
        CPPUNIT_ASSERT(!other.begin_trial({1000, {bad_part}}, 1, 0, now));
    }

    // Guards against a clearance that replaces findings which are still to be sent.
    void clearance_reaches_other_gateways()
    {
        crash_guard guard;
        crash_guard other;
        for (int i = 0; i < 2; ++i) {
            crash_under(guard, i, {{100, {bad_part, rare_part}}}, start + apart * i);
        }
        const auto now = start + seconds(1);
        other.merge(guard.next_announcement(now), now);
        guard.on_completed({101, {rare_part}}, now);
        other.merge(guard.next_announcement(now), now);
        for (int i = 2; i < 4; ++i) {
            crash_under(other, i, {{poison::fingerprint(100 + i), {bad_part, rare_part}}},
                        now + apart * i);
        }
        CPPUNIT_ASSERT(other.is_refused({1000, {bad_part}}, now));
        CPPUNIT_ASSERT(!other.is_refused({1000, {rare_part}}, now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_crash_guard_test);

} // namespace snipespar::gateway
