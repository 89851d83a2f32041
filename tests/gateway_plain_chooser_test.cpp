#include "gateway/plain_chooser.h"

#include "gateway/placed_call.h"
#include "gateway/upstream_state.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <vector>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds(100)};
constexpr auto aim = milliseconds(150);
constexpr int gateways = 32;

// One gateway's view of three upstreams of six slots.
class plain_view {
public:
    plain_view()
    {
        for (std::size_t i = 0; i < states_.size(); ++i) {
            states_[i].entry.id = upstream_id("u" + std::to_string(i));
            states_[i].entry.service = "s";
            states_[i].entry.slots = 6;
        }
    }

    upstream_state& state(std::size_t number) { return states_[number]; }
    finish_forecaster& forecaster() { return chooser_.forecaster(); }

    // The upstream answers a call that took this long.
    void answer(std::size_t number, const std::string& route, duration took,
                const stated_load& load, time_point now)
    {
        placed_call call{states_[number].entry.id, "s", route, {}, now - took};
        state_load(number, load, call.sent_at);
        call.forecast = forecast(number, route, call.sent_at);
        forecaster().on_sent(call);
        state_load(number, load, now);
        forecaster().on_answered(call, load, now);
    }

    void state_load(std::size_t number, const stated_load& load, time_point now)
    {
        states_[number].load = load;
        states_[number].load_at = now;
    }

    // All upstreams answer calls of 30 ms in turn.
    void learn_usual()
    {
        for (int i = 0; i < 60; ++i) {
            answer(static_cast<std::size_t>(i) % 3, "r", milliseconds(30), {2, 0, 6, 1},
                   start - milliseconds(10 * (60 - i)));
        }
    }

    finish_forecast forecast(std::size_t number, const std::string& route, time_point now) const
    {
        return chooser_.forecaster().forecast(states_[number], route, gateways, now);
    }

    plain_chooser::choice choose(time_point now, bool needs_room = false)
    {
        return *choose_if_stated(now, needs_room);
    }

    std::optional<plain_chooser::choice> choose_if_stated(time_point now, bool needs_room = false)
    {
        const std::vector<const upstream_state*> candidates{&states_[0], &states_[1], &states_[2]};
        const plain_chooser::need need{"r", aim, now + aim, needs_room, gateways};
        return chooser_.choose(need, candidates, random_, now);
    }

    // Part of the calls that go to the upstream.
    double share(std::size_t number, time_point now)
    {
        constexpr int draws = 2000;
        int chosen = 0;
        for (int i = 0; i < draws; ++i) {
            chosen += choose(now).upstream == &states_[number] ? 1 : 0;
        }
        return static_cast<double>(chosen) / draws;
    }

private:
    std::array<upstream_state, 3> states_;
    plain_chooser chooser_{failure_domain_id()};
    std::mt19937_64 random_{1};
};

} // namespace

// Load pattern: one of many gateways, which sees a small part of the calls to a few upstreams.
class gateway_plain_chooser_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_plain_chooser_test);
    CPPUNIT_TEST(upstreams_without_a_stated_load_are_left_to_others);
    CPPUNIT_TEST(cost_of_a_route_is_learned_and_queues_are_taken_out);
    CPPUNIT_TEST(stated_slowdown_is_no_cost_of_the_route);
    CPPUNIT_TEST(stale_load_does_not_draw_all_calls_to_one_upstream);
    CPPUNIT_TEST(own_calls_in_flight_show_a_queue_at_once);
    CPPUNIT_TEST(call_that_would_miss_its_aim_everywhere_is_refused_with_its_turn);
    CPPUNIT_TEST(call_is_not_refused_while_one_upstream_has_a_free_slot);
    CPPUNIT_TEST(old_figures_refuse_nothing);
    CPPUNIT_TEST(shed_call_is_tried_only_where_there_is_room);
    CPPUNIT_TEST(slow_upstream_that_states_idle_gets_little_work);
    CPPUNIT_TEST(silent_upstream_that_states_idle_is_avoided);
    CPPUNIT_TEST(impossible_figure_is_forgotten);
    CPPUNIT_TEST_SUITE_END();

public:
    void upstreams_without_a_stated_load_are_left_to_others()
    {
        plain_view view;
        CPPUNIT_ASSERT(!view.choose_if_stated(start));
    }

    // Guards against forecasts that take the queue which a call met for its cost.
    void cost_of_a_route_is_learned_and_queues_are_taken_out()
    {
        plain_view view;
        for (int i = 0; i < 100; ++i) {
            const auto now = start - milliseconds(10 * (100 - i));
            const auto upstream = static_cast<std::size_t>(i) % 3;
            view.answer(upstream, "cheap", milliseconds(20), {1, 0, 6, 1}, now);
            // Twelve calls wait ahead: two for each slot.
            view.answer((upstream + 1) % 3, "dear", milliseconds(60 * 3), {6, 12, 6, 1}, now);
        }
        const auto cheap = view.forecast(0, "cheap", start).run_s;
        const auto dear = view.forecast(0, "dear", start).run_s;
        CPPUNIT_ASSERT(cheap > 0.015 && cheap < 0.03);
        CPPUNIT_ASSERT(dear > 2 * cheap && dear < 0.09);
        // A route that is not known yet costs the mean.
        const auto unknown = view.forecast(0, "new", start).run_s;
        CPPUNIT_ASSERT(unknown > cheap && unknown < dear);
    }

    void stated_slowdown_is_no_cost_of_the_route()
    {
        plain_view view;
        view.learn_usual();
        for (int i = 0; i < 20; ++i) {
            view.answer(2, "r", milliseconds(90), {2, 0, 6, 3}, start + milliseconds(10 * i));
        }
        const auto now = start + milliseconds(200);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.03, view.forecast(0, "r", now).run_s, 0.008);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.09, view.forecast(2, "r", now).run_s, 0.025);
    }

    // Guards against a herd: each gateway knows the same figure, a quarter of a second old.
    void stale_load_does_not_draw_all_calls_to_one_upstream()
    {
        plain_view view;
        view.learn_usual();
        view.state_load(0, {1, 0, 6, 1}, start);
        view.state_load(1, {6, 3, 6, 1}, start);
        view.state_load(2, {6, 3, 6, 1}, start);
        const double fresh = view.share(0, start);
        const double stale = view.share(0, start + milliseconds(250));
        CPPUNIT_ASSERT(fresh > 0.6);
        CPPUNIT_ASSERT(stale < 0.45);
    }

    void own_calls_in_flight_show_a_queue_at_once()
    {
        plain_view view;
        view.learn_usual();
        for (int i = 0; i < 2; ++i) {
            const auto sent_at = start + milliseconds(100 + i);
            view.forecaster().on_sent({view.state(1).entry.id, "s", "r", {}, sent_at});
        }
        CPPUNIT_ASSERT(view.share(1, start + milliseconds(120)) < 0.15);
    }

    // Guards against calls that all wait behind one another until none is answered in time.
    void call_that_would_miss_its_aim_everywhere_is_refused_with_its_turn()
    {
        plain_view view;
        view.learn_usual();
        for (std::size_t i = 0; i < 3; ++i) {
            // 60 calls ahead at 200 a second.
            view.state_load(i, {6, 60, 6, 1}, start);
        }
        const auto refused = view.choose(start);
        CPPUNIT_ASSERT(refused.upstream == nullptr);
        const auto wait = refused.opens_at - start;
        CPPUNIT_ASSERT(wait > milliseconds(100) && wait < milliseconds(400));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(600, refused.rate_per_s, 150);
    }

    void call_is_not_refused_while_one_upstream_has_a_free_slot()
    {
        plain_view view;
        view.learn_usual();
        view.state_load(0, {6, 60, 6, 1}, start);
        view.state_load(1, {6, 60, 6, 1}, start);
        // Its calls take longer than callers want to wait, but it is free.
        view.state_load(2, {3, 0, 6, 20}, start);
        CPPUNIT_ASSERT(view.choose(start).upstream == &view.state(2));
    }

    // Guards against a gateway that refuses all calls and so never hears that the queue has gone.
    void old_figures_refuse_nothing()
    {
        plain_view view;
        view.learn_usual();
        for (std::size_t i = 0; i < 3; ++i) {
            view.state_load(i, {6, 100'000, 6, 1}, start);
        }
        CPPUNIT_ASSERT(view.choose(start).upstream == nullptr);
        CPPUNIT_ASSERT(view.choose(start + milliseconds(1100)).upstream != nullptr);
    }

    void shed_call_is_tried_only_where_there_is_room()
    {
        plain_view view;
        view.learn_usual();
        view.forecaster().on_shed({view.state(0).entry.id, "s", "r", {}, start}, {6, 12, 6, 1},
                                  start);
        for (std::size_t i = 0; i < 3; ++i) {
            view.state_load(i, {6, 12, 6, 1}, start);
        }
        CPPUNIT_ASSERT(view.choose(start).upstream != nullptr);
        const auto refused = view.choose(start, true);
        CPPUNIT_ASSERT(refused.upstream == nullptr && refused.opens_at > start);
        view.state_load(2, {6, 1, 6, 1}, start);
        CPPUNIT_ASSERT(view.choose(start, true).upstream == &view.state(2));
    }

    void slow_upstream_that_states_idle_gets_little_work()
    {
        plain_view view;
        view.learn_usual();
        for (int i = 0; i < 6; ++i) {
            view.answer(2, "r", milliseconds(225), {1, 0, 6, 1}, start + milliseconds(50 * i));
        }
        CPPUNIT_ASSERT(view.share(2, start + milliseconds(300)) < 0.15);
        // It is tried again: only answers show that it has recovered.
        CPPUNIT_ASSERT(view.share(2, start + seconds(15)) > 0.05);
    }

    // Guards against a crashed or hanging upstream whose last figure was the lowest.
    void silent_upstream_that_states_idle_is_avoided()
    {
        plain_view view;
        view.learn_usual();
        view.state_load(2, {0, 0, 6, 1}, start);
        const placed_call call{view.state(2).entry.id, "s", "r", view.forecast(2, "r", start),
                               start};
        view.forecaster().on_sent(call);
        CPPUNIT_ASSERT(view.share(2, start + milliseconds(300)) < 0.1);
        view.forecaster().on_given_up(call, true, start + seconds(1));
        CPPUNIT_ASSERT(view.share(2, start + milliseconds(1100)) < 0.15);
        // The same where its connections are refused at once.
        plain_view crashed;
        crashed.learn_usual();
        crashed.state_load(2, {0, 0, 6, 1}, start);
        crashed.state(2).consecutive_failures = 2;
        CPPUNIT_ASSERT(crashed.share(2, start + milliseconds(50)) < 0.2);
    }

    void impossible_figure_is_forgotten()
    {
        plain_view view;
        view.learn_usual();
        view.state_load(0, {1'000'000, 1'000'000, 1'000'000, 100}, start);
        CPPUNIT_ASSERT(view.share(0, start + milliseconds(100)) < 0.1);
        for (int i = 0; i < 40; ++i) {
            view.answer(0, "r", milliseconds(30), {2, 0, 6, 1}, start + milliseconds(50 * i));
        }
        CPPUNIT_ASSERT(view.share(0, start + milliseconds(2050)) > 0.25);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_plain_chooser_test);

} // namespace snipespar::gateway
