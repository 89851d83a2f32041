#include "support/fake_upstream.h"
#include "support/seeded_check.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace snipespar {

namespace {

using agent::scheduler_options;
using agent::work_item;
using namespace std::chrono_literals;

scheduler_options make_options(std::uint32_t slots, std::uint32_t max_running)
{
    scheduler_options options;
    options.max_running = max_running;
    options.residency.slots = slots;
    options.residency.checks_fencing = true;
    return options;
}

adapter_ref make_adapter(std::uint64_t number)
{
    return {adapter_id("a" + std::to_string(number)), "1"};
}

work_item make_item(std::uint64_t adapter, time_point deadline, const std::string& team = "t")
{
    work_item item;
    item.team = team_id(team);
    item.adapter = make_adapter(adapter);
    item.prompt_tokens = 10;
    item.max_tokens = 40;
    item.deadline = deadline;
    return item;
}

upstream_faults any_faults()
{
    const auto percent = [](std::uint32_t max) { return *rc::gen::inRange(0U, max); };
    return {
        .failed_loads = percent(60),
        .failed_runs = percent(20),
        .refused_permits = percent(60),
        .crashes = percent(3),
        .cold_restarts = percent(3),
        .cancels = percent(30),
        .checks_fencing = *rc::gen::arbitrary<bool>(),
    };
}

void send_random_requests(fake_upstream& upstream, std::uint64_t adapters)
{
    const int count = *rc::gen::inRange(1, 120);
    for (int i = 0; i < count; ++i) {
        const auto wait = std::chrono::milliseconds(*rc::gen::inRange(0, 60));
        const auto patience = std::chrono::milliseconds(*rc::gen::inRange(0, 5000));
        const auto adapter = *rc::gen::inRange<std::uint64_t>(0, adapters);
        auto item = make_item(adapter, upstream.now() + patience,
                              *rc::gen::element<std::string>("t", "u", "v"));
        item.exclusive = *rc::gen::inRange(0, 20) == 0;
        upstream.request(item);
        upstream.advance(wait);
    }
}

} // namespace

class agent_scheduler_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(agent_scheduler_test);
    CPPUNIT_TEST(invariants_hold_under_any_faults);
    CPPUNIT_TEST(foreign_orders_never_lead_to_a_wrong_answer);
    CPPUNIT_TEST(an_answer_of_another_version_is_never_passed_on);
    CPPUNIT_TEST(a_cold_restart_reloads_queued_adapters);
    CPPUNIT_TEST(a_new_agent_orders_nothing_before_old_orders_are_void);
    CPPUNIT_TEST(an_early_read_does_not_end_the_recovery);
    CPPUNIT_TEST(waiting_work_gets_a_slot_that_others_keep_busy);
    CPPUNIT_TEST(a_request_that_cannot_start_in_time_is_refused_immediately);
    CPPUNIT_TEST(waiters_of_a_failing_load_are_refused_before_their_deadline);
    CPPUNIT_TEST(a_drain_finishes_accepted_requests_and_refuses_new_ones);
    CPPUNIT_TEST(an_exclusive_request_runs_alone);
    CPPUNIT_TEST(a_flood_leaves_other_teams_their_share);
    CPPUNIT_TEST(a_late_end_of_an_old_load_order_is_ignored);
    CPPUNIT_TEST_SUITE_END();

public:
    void invariants_hold_under_any_faults()
    {
        CPPUNIT_ASSERT(seeded_check("scheduler promises", 11, 300, [] {
            const auto slots = *rc::gen::inRange(1U, 5U);
            const auto running = *rc::gen::inRange(1U, 6U);
            auto options = make_options(slots, running);
            options.max_queued = *rc::gen::inRange<std::size_t>(1, 32);
            const auto faults = any_faults();
            options.residency.checks_fencing = faults.checks_fencing;
            fake_upstream upstream(options, faults, *rc::gen::arbitrary<std::uint64_t>());
            send_random_requests(upstream, 8);
            RC_ASSERT(upstream.finish() == upstream_violations{});
            RC_ASSERT(upstream.decisions().state().queued == 0U);
            RC_ASSERT(upstream.decisions().state().running == 0U);
        }));
    }

    void foreign_orders_never_lead_to_a_wrong_answer()
    {
        CPPUNIT_ASSERT(seeded_check("foreign orders", 12, 100, [] {
            auto options = make_options(3, 4);
            options.residency.checks_fencing = false;
            fake_upstream upstream(options, {.foreign_orders = 10},
                                   *rc::gen::arbitrary<std::uint64_t>());
            upstream.advance(6s);
            send_random_requests(upstream, 5);
            RC_ASSERT(upstream.finish() == upstream_violations{});
        }));
    }

    void an_answer_of_another_version_is_never_passed_on()
    {
        agent::scheduler decisions(make_options(1, 1));
        const time_point now{};
        decisions.start(now);
        decisions.on_fence_raised(now);
        decisions.on_upstream_read(1, {make_adapter(1)}, now, now);
        auto item = make_item(1, now + 1s);
        item.id = 7;
        decisions.on_request(item, now);
        const auto actions = decisions.on_first_byte(7, "a1@2", now);
        CPPUNIT_ASSERT(std::ranges::find(actions, agent::scheduler_action(agent::cancel_run{7})) !=
                       actions.end());
        const agent::fail expected{7, run_state::ran, agent::failure_reason::wrong_adapter};
        CPPUNIT_ASSERT(std::ranges::find(actions, agent::scheduler_action(expected)) !=
                       actions.end());
        const auto late = decisions.on_done(7, "a1@1", 50, now);
        CPPUNIT_ASSERT(std::ranges::find(late, agent::scheduler_action(agent::complete{7})) ==
                       late.end());
    }

    void a_cold_restart_reloads_queued_adapters()
    {
        fake_upstream upstream(make_options(2, 1), {}, 1);
        upstream.advance(100ms);
        upstream.request(make_item(1, upstream.now() + 10s));
        upstream.request(make_item(1, upstream.now() + 10s));
        upstream.advance(280ms);
        upstream.restart_cold();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream.failures().size());
        upstream.advance(1s);
        CPPUNIT_ASSERT(upstream.resident().contains(make_adapter(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream.completed());
        CPPUNIT_ASSERT(upstream.finish() == upstream_violations{});
    }

    void a_new_agent_orders_nothing_before_old_orders_are_void()
    {
        auto options = make_options(2, 1);
        options.residency.checks_fencing = false;
        fake_upstream upstream(options, {}, 1);
        upstream.request(make_item(1, upstream.now() + 20s));
        upstream.advance(options.residency.longest_order_time - 10ms);
        CPPUNIT_ASSERT(upstream.resident().empty());
        CPPUNIT_ASSERT(!upstream.decisions().adapters().recovered());
        upstream.advance(500ms);
        CPPUNIT_ASSERT(upstream.resident().contains(make_adapter(1)));
    }

    void an_early_read_does_not_end_the_recovery()
    {
        auto options = make_options(2, 1);
        options.residency.checks_fencing = false;
        fake_upstream upstream(options, {}, 1);
        upstream.read();
        upstream.advance(100ms);
        CPPUNIT_ASSERT(!upstream.decisions().adapters().recovered());
    }

    void waiting_work_gets_a_slot_that_others_keep_busy()
    {
        fake_upstream upstream(make_options(1, 4), {}, 1);
        upstream.advance(100ms);
        for (int i = 0; i < 400; ++i) {
            upstream.request(make_item(1, upstream.now() + 5s));
            upstream.advance(20ms);
            if (i == 50) {
                upstream.request(make_item(2, upstream.now() + 5s, "u"));
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{50}, upstream.tokens().at(team_id("u")));
    }

    void a_request_that_cannot_start_in_time_is_refused_immediately()
    {
        fake_upstream upstream(make_options(1, 1), {}, 1);
        upstream.advance(100ms);
        for (int i = 0; i < 20; ++i) {
            upstream.request(make_item(1, upstream.now() + 20s));
        }
        upstream.advance(400ms);
        const auto refused = upstream.refusals().size();
        upstream.request(make_item(1, upstream.now() + 100ms));
        CPPUNIT_ASSERT_EQUAL(refused + 1, upstream.refusals().size());
        CPPUNIT_ASSERT(upstream.refusals().back().reason == agent::refusal_reason::deadline);
        CPPUNIT_ASSERT(upstream.refusals().back().retry_after > 500ms);
    }

    void waiters_of_a_failing_load_are_refused_before_their_deadline()
    {
        fake_upstream upstream(make_options(1, 1), {.failed_loads = 100}, 1);
        upstream.advance(100ms);
        const auto deadline = upstream.now() + 10s;
        upstream.request(make_item(1, deadline));
        while (upstream.refusals().empty() && upstream.now() < deadline) {
            upstream.advance(10ms);
        }
        CPPUNIT_ASSERT(upstream.now() < deadline - 1s);
        CPPUNIT_ASSERT(upstream.refusals().front().reason == agent::refusal_reason::load_failed);
        CPPUNIT_ASSERT(upstream.refusals().front().retry_after > 500ms);
    }

    void a_drain_finishes_accepted_requests_and_refuses_new_ones()
    {
        fake_upstream upstream(make_options(1, 1), {}, 1);
        upstream.advance(100ms);
        upstream.request(make_item(1, upstream.now() + 20s));
        upstream.request(make_item(1, upstream.now() + 20s));
        upstream.decisions().on_drain(upstream.now());
        upstream.request(make_item(1, upstream.now() + 20s));
        CPPUNIT_ASSERT(upstream.refusals().at(0).reason == agent::refusal_reason::draining);
        upstream.advance(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, upstream.completed());
        CPPUNIT_ASSERT(upstream.decisions().state().phase == agent::upstream_phase::drained);
    }

    void an_exclusive_request_runs_alone()
    {
        fake_upstream upstream(make_options(1, 4), {}, 1);
        upstream.advance(100ms);
        for (std::uint32_t i = 1; i <= 40; ++i) {
            auto item = make_item(1, upstream.now() + 20s);
            item.exclusive = i == 10;
            upstream.request(item);
            upstream.advance(20ms);
            const auto running = upstream.running();
            CPPUNIT_ASSERT(!running.contains(10) || running.size() == 1);
        }
        CPPUNIT_ASSERT(upstream.started.contains(10));
    }

    void a_flood_leaves_other_teams_their_share()
    {
        auto options = make_options(2, 4);
        fake_upstream upstream(options, {}, 1);
        upstream.advance(100ms);
        for (int i = 0; i < 4000; ++i) {
            for (int copy = 0; copy < 3; ++copy) {
                upstream.request(make_item(1, upstream.now() + 30s, "flood"));
            }
            auto other = make_item(1, upstream.now() + 30s, "steady");
            other.weight = 3;
            upstream.request(other);
            upstream.advance(20ms);
        }
        const auto flood = static_cast<double>(upstream.tokens().at(team_id("flood")));
        const auto steady = static_cast<double>(upstream.tokens().at(team_id("steady")));
        // The steady team requests 50 of about 80 tokens per step, below its share of 3/4.
        CPPUNIT_ASSERT(steady >= 0.95 * 4000 * 50);
        CPPUNIT_ASSERT(flood > 0);
    }

    void a_late_end_of_an_old_load_order_is_ignored()
    {
        agent::residency adapters({.slots = 1, .checks_fencing = true});
        time_point now{};
        adapters.start(now);
        adapters.on_fence_raised(now);
        adapters.on_upstream_read({}, now, now);
        const std::vector<agent::queued_adapter> needed{{make_adapter(1), now}};
        adapters.plan(needed, now);
        const auto first = adapters.on_permit(make_adapter(1), true, {}, now);
        const auto old_fence = std::get<agent::load_adapter>(first.at(0)).fence;
        adapters.on_upstream_restarted();
        adapters.plan(needed, now);
        adapters.on_permit(make_adapter(1), true, {}, now);
        adapters.on_load_done(make_adapter(1), old_fence, true, now + 1ms);
        CPPUNIT_ASSERT(adapters.phase_of(make_adapter(1)) == agent::adapter_phase::loading);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(agent_scheduler_test);

} // namespace snipespar
