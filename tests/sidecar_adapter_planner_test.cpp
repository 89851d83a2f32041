#include "sidecar/adapter_planner.h"

#include "gateway/engine_status.h"
#include "support/seeded_check.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <rapidcheck.h>
#include <set>
#include <string>

namespace snipespar::sidecar {

namespace {

using std::chrono::milliseconds;
using operation = engine_order::operation;

constexpr time_point start{std::chrono::seconds(50)};
constexpr int slots = 4;

control::adapter_demand demand(const std::vector<control::adapter_use>& uses,
                               const std::string& gateway = "g1")
{
    return {gateway, 1, "i-1", 1, slots, {"base"}, uses, {}};
}

control::adapter_use waiting(const std::string& adapter)
{
    return {"base", adapter, 1, 0};
}

engine_report report(const std::set<std::string>& adapters, std::uint64_t orders = 0)
{
    engine_report result;
    result.process_start_ms = 1;
    result.orders_accepted = orders;
    result.models = {"base"};
    for (const auto& adapter : adapters) {
        result.adapters["base/" + adapter] = 1;
    }
    return result;
}

// An engine that carries out orders after a while, and as it likes answers none of them.
class fake_engine {
public:
    explicit fake_engine(std::uint64_t seed) : random_(seed) {}

    order_result take(const engine_order& order, time_point now)
    {
        const bool is_mute = std::bernoulli_distribution(0.2)(random_);
        if (is_mute && std::bernoulli_distribution(0.5)(random_)) {
            late_.emplace_back(now + milliseconds(300 + 100 * (random_() % 40)), order);
            return order_result::unknown;
        }
        const auto result = carry_out(order, now);
        return is_mute ? order_result::unknown : result;
    }

    // Starts anew, empty; orders that it has not answered yet reach its next life.
    void restart(bool keeps_name)
    {
        accepted_ = 0;
        held_.clear();
        loading_.clear();
        dropping_.clear();
        ++born_ms_;
        if (!keeps_name) {
            name_ = "i-" + std::to_string(born_ms_);
        }
    }

    const std::string& name() const { return name_; }
    std::uint64_t process_start_ms() const { return born_ms_; }

    engine_report step(time_point now)
    {
        for (auto item = late_.begin(); item != late_.end();) {
            if (item->first <= now) {
                carry_out(item->second, now);
                item = late_.erase(item);
            }
            else {
                ++item;
            }
        }
        for (auto item = loading_.begin(); item != loading_.end();) {
            if (item->second <= now) {
                held_.insert(item->first);
                item = loading_.erase(item);
            }
            else {
                ++item;
            }
        }
        std::erase_if(dropping_, [&](const auto& item) {
            return item.second <= now && held_.erase(item.first) > 0;
        });
        engine_report result = report({}, accepted_);
        result.process_start_ms = born_ms_;
        for (const auto& name : held_) {
            result.adapters[name] = 1;
        }
        for (const auto& [name, when] : loading_) {
            result.loading.push_back(name);
        }
        return result;
    }

    std::size_t places_taken() const { return held_.size() + loading_.size(); }
    std::size_t most_loads() const { return most_loads_; }

private:
    order_result carry_out(const engine_order& order, time_point now)
    {
        if (!order.upstream.empty() && order.upstream != name_) {
            return order_result::refused;
        }
        if (order.orders_before != accepted_) {
            return order_result::conflict;
        }
        ++accepted_;
        const auto name = order.model + "/" + order.adapter;
        if (order.op == operation::load) {
            loading_[name] = now + milliseconds(100);
            most_loads_ = std::max(most_loads_, loading_.size());
        }
        else if (std::bernoulli_distribution(0.3)(random_)) {
            // Runs are still using it.
            dropping_[name] = now + milliseconds(200);
        }
        else {
            held_.erase(name);
            return order_result::done;
        }
        return order_result::accepted;
    }

    std::mt19937_64 random_;
    std::uint64_t accepted_ = 0;
    std::set<std::string> held_;
    std::map<std::string, time_point> loading_;
    std::map<std::string, time_point> dropping_;
    std::vector<std::pair<time_point, engine_order>> late_;
    std::size_t most_loads_ = 0;
    std::uint64_t born_ms_ = 1;
    std::string name_ = "i-1";
};

} // namespace

class sidecar_adapter_planner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sidecar_adapter_planner_test);
    CPPUNIT_TEST(nothing_is_ordered_before_a_report);
    CPPUNIT_TEST(awaited_adapter_is_loaded);
    CPPUNIT_TEST(empty_engine_loads_its_model_first);
    CPPUNIT_TEST(refused_load_of_the_model_is_repeated_soon);
    CPPUNIT_TEST(name_of_an_earlier_life_is_not_used);
    CPPUNIT_TEST(busy_weight_store_is_asked_for_fewer_loads);
    CPPUNIT_TEST(least_recently_used_makes_way);
    CPPUNIT_TEST(adapter_in_use_is_never_dropped);
    CPPUNIT_TEST(adapter_is_withdrawn_before_it_is_dropped);
    CPPUNIT_TEST(place_is_taken_until_the_last_run_has_ended);
    CPPUNIT_TEST(recent_use_does_not_hold_up_awaited_adapters);
    CPPUNIT_TEST(outdated_adapter_is_replaced_within_its_time);
    CPPUNIT_TEST(unanswered_order_is_settled_by_the_report);
    CPPUNIT_TEST(unanswered_order_withdraws_nothing);
    CPPUNIT_TEST(restarted_engine_is_filled_anew);
    CPPUNIT_TEST(places_are_never_exceeded);
    CPPUNIT_TEST(late_orders_do_not_overfill_a_restarted_engine);
    CPPUNIT_TEST_SUITE_END();

public:
    void nothing_is_ordered_before_a_report()
    {
        adapter_planner planner;
        planner.on_demand(demand({waiting("a1")}), start);
        CPPUNIT_ASSERT(!planner.next_order(start));
    }

    void awaited_adapter_is_loaded()
    {
        adapter_planner planner;
        planner.on_report(report({}, 7), start);
        planner.on_demand(demand({waiting("a1")}), start);
        const auto order = planner.next_order(start);
        CPPUNIT_ASSERT(order ==
                       (engine_order{operation::load, "base", "a1", std::nullopt, 7, "i-1"}));
        planner.on_order_result(*order, order_result::accepted, start);
        CPPUNIT_ASSERT(!planner.next_order(start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, planner.status().loading.size());
        planner.on_report(report({"a1"}, 8), start);
        CPPUNIT_ASSERT(planner.status().adapters.contains("base/a1"));
    }

    void empty_engine_loads_its_model_first()
    {
        adapter_planner planner;
        engine_report empty;
        empty.process_start_ms = 1;
        planner.on_report(empty, start);
        planner.on_demand(demand({waiting("a1")}), start);
        const auto order = planner.next_order(start);
        CPPUNIT_ASSERT(order ==
                       (engine_order{operation::load, "base", "", std::nullopt, 0, "i-1"}));
        planner.on_order_result(*order, order_result::accepted, start);
        planner.on_report(empty, start + milliseconds(100));
        // Further loads would only draw on the fleet's limit.
        CPPUNIT_ASSERT(!planner.next_order(start + milliseconds(100)));
    }

    // After a loss of power gateways know an engine by its former name for some seconds, so that
    // its first order may be refused.
    void refused_load_of_the_model_is_repeated_soon()
    {
        adapter_planner planner;
        const engine_report empty;
        planner.on_report(empty, start);
        planner.on_demand(demand({waiting("a1")}), start);
        for (int tries = 0; tries < 2; ++tries) {
            const auto now = start + milliseconds(400 * tries);
            planner.on_report(empty, now);
            const auto order = planner.next_order(now);
            CPPUNIT_ASSERT(order.has_value());
            CPPUNIT_ASSERT_EQUAL(std::string(), order->adapter);
            planner.on_order_result(*order, order_result::refused, now);
        }
    }

    void name_of_an_earlier_life_is_not_used()
    {
        adapter_planner planner;
        auto told = demand({waiting("a1")});
        planner.on_demand(told, start);
        auto reborn = report({});
        reborn.process_start_ms = 2;
        planner.on_report(reborn, start);
        CPPUNIT_ASSERT_EQUAL(std::string(), planner.next_order(start)->upstream);
        told.upstream = "i-2";
        told.upstream_start_ms = 2;
        planner.on_demand(told, start);
        // Another gateway lags behind.
        planner.on_demand(demand({waiting("a1")}, "g2"), start);
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), planner.next_order(start)->upstream);
    }

    // Load: many rare adapters at once. While loads take as long as they must, an engine has four
    // on their way; when all engines together slow them down, it has two.
    void busy_weight_store_is_asked_for_fewer_loads()
    {
        adapter_planner planner;
        auto told = demand({waiting("a1"), waiting("a2"), waiting("a3"), waiting("a4")});
        told.adapter_slots = 16;
        const auto loads_at_once = [&](time_point now, const std::set<std::string>& held) {
            planner.on_report(report(held), now);
            planner.on_demand(told, now);
            int orders = 0;
            while (const auto order = planner.next_order(now)) {
                planner.on_order_result(*order, order_result::accepted, now);
                ++orders;
            }
            return orders;
        };
        CPPUNIT_ASSERT_EQUAL(2, loads_at_once(start, {}));
        auto now = start + milliseconds(250);
        std::set<std::string> held{"a1", "a2", "a3", "a4"};
        planner.on_report(report(held), now);
        told.uses = {waiting("d1"), waiting("d2"), waiting("d3"), waiting("d4")};
        CPPUNIT_ASSERT_EQUAL(4, loads_at_once(now, held));
        now += milliseconds(260);
        held = {"d1", "d2", "d3", "d4"};
        planner.on_report(report(held), now);
        for (int round = 1; round <= 12; ++round) {
            const auto name = "b" + std::to_string(round);
            told.uses = {waiting(name)};
            CPPUNIT_ASSERT_EQUAL(1, loads_at_once(now, held));
            now += milliseconds(900);
            held = {name};
            planner.on_report(report(held), now);
        }
        told.uses = {waiting("c1"), waiting("c2"), waiting("c3"), waiting("c4")};
        CPPUNIT_ASSERT_EQUAL(2, loads_at_once(now, held));
    }

    void least_recently_used_makes_way()
    {
        adapter_planner planner;
        planner.on_report(report({"old", "new", "newer", "newest"}), start);
        planner.on_demand(demand({{"base", "old", 0, 1}}), start);
        planner.on_demand(
            demand({{"base", "new", 0, 1}, {"base", "newer", 0, 1}, {"base", "newest", 0, 1}}),
            start + milliseconds(500));
        planner.on_demand(demand({waiting("a1")}), start + milliseconds(1000));
        planner.on_report(report({"old", "new", "newer", "newest"}), start + milliseconds(1000));
        CPPUNIT_ASSERT(!planner.next_order(start + milliseconds(1000)));
        const auto order = planner.next_order(start + milliseconds(1100));
        CPPUNIT_ASSERT(order && order->op == operation::unload && order->adapter == "old");
    }

    void adapter_in_use_is_never_dropped()
    {
        adapter_planner planner;
        planner.on_report(report({"a", "b", "c", "d"}), start);
        auto now = start;
        for (int i = 0; i < 20; ++i) {
            now += milliseconds(500);
            planner.on_demand(demand({{"base", "a", 0, 1}, {"base", "b", 0, 2}}, "g1"), now);
            planner.on_demand(
                demand({{"base", "c", 0, 1}, {"base", "d", 0, 1}, waiting("e")}, "g2"), now);
            planner.on_report(report({"a", "b", "c", "d"}), now);
            CPPUNIT_ASSERT(!planner.next_order(now));
            CPPUNIT_ASSERT(!planner.next_order(now + milliseconds(400)));
        }
    }

    void adapter_is_withdrawn_before_it_is_dropped()
    {
        adapter_planner planner;
        planner.on_report(report({"a", "b", "c", "d"}), start);
        const auto now = start + milliseconds(1000);
        planner.on_demand(demand({waiting("e")}), now);
        CPPUNIT_ASSERT(!planner.next_order(now));
        const auto told = planner.status().adapters;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, told.size());
        const auto order = planner.next_order(now + milliseconds(100));
        CPPUNIT_ASSERT(order && order->op == operation::unload);
        CPPUNIT_ASSERT(!told.contains("base/" + order->adapter));
    }

    // An engine accepts the order to drop an adapter at once and drops it after its last run.
    void place_is_taken_until_the_last_run_has_ended()
    {
        adapter_planner planner;
        planner.on_report(report({"a", "b", "c", "d"}), start);
        auto now = start + milliseconds(1000);
        planner.on_demand(demand({waiting("e")}), now);
        CPPUNIT_ASSERT(!planner.next_order(now));
        now += milliseconds(100);
        const auto drop = planner.next_order(now);
        CPPUNIT_ASSERT(drop && drop->op == operation::unload);
        planner.on_order_result(*drop, order_result::accepted, now);
        const auto other = planner.next_order(now);
        CPPUNIT_ASSERT(other && other->op == operation::unload);
        planner.on_order_result(*other, order_result::done, now);
        const auto load = planner.next_order(now);
        CPPUNIT_ASSERT(load && load->op == operation::load);
        planner.on_order_result(*load, order_result::accepted, now);
        planner.on_demand(demand({waiting("e"), waiting("f")}), now);
        const auto next = planner.next_order(now);
        CPPUNIT_ASSERT(!next || next->op == operation::unload);
    }

    // Load: more rare adapters at once than an engine has places. Each place is worth most to the
    // calls that wait.
    void recent_use_does_not_hold_up_awaited_adapters()
    {
        adapter_planner planner;
        planner.on_report(report({"a", "b", "c", "d"}), start);
        planner.on_demand(demand({{"base", "a", 0, 1}, {"base", "b", 0, 1}, {"base", "c", 0, 1}}),
                          start);
        CPPUNIT_ASSERT(!planner.status().is_short_of_slots);
        const auto now = start + milliseconds(100);
        planner.on_demand(demand({waiting("e"), waiting("f"), waiting("g")}), now);
        CPPUNIT_ASSERT(planner.status().is_short_of_slots);
        CPPUNIT_ASSERT(!planner.next_order(now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, planner.status().adapters.size());
    }

    void outdated_adapter_is_replaced_within_its_time()
    {
        adapter_planner planner;
        planner.on_report(report({"a"}), start);
        auto told = demand({});
        told.versions = {{"base/a", 2}};
        planner.on_demand(told, start);
        std::optional<engine_order> order;
        auto now = start;
        while (!order && now < start + std::chrono::seconds(5)) {
            now += milliseconds(20);
            order = planner.next_order(now);
        }
        CPPUNIT_ASSERT(order == (engine_order{operation::load, "base", "a", 2, 0, "i-1"}));
        CPPUNIT_ASSERT(now - start < std::chrono::seconds(2));
        CPPUNIT_ASSERT(planner.status().adapters.empty());
    }

    // Gateways would take their calls elsewhere and have everything loaded there.
    void unanswered_order_withdraws_nothing()
    {
        adapter_planner planner;
        planner.on_report(report({"a"}), start);
        planner.on_demand(demand({waiting("b")}), start);
        const auto order = planner.next_order(start);
        CPPUNIT_ASSERT(order.has_value());
        planner.on_order_result(*order, order_result::unknown, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, planner.status().models.size());
        CPPUNIT_ASSERT(planner.status().adapters.contains("base/a"));
        CPPUNIT_ASSERT(!planner.next_order(start));
    }

    void unanswered_order_is_settled_by_the_report()
    {
        adapter_planner planner;
        planner.on_report(report({}, 3), start);
        planner.on_demand(demand({waiting("a1")}), start);
        const auto order = planner.next_order(start);
        planner.on_order_result(*order, order_result::unknown, start);
        CPPUNIT_ASSERT(!planner.next_order(start + milliseconds(100)));
        // It was not taken: the same again, with the same count, so that only one can be.
        planner.on_report(report({}, 3), start + milliseconds(100));
        CPPUNIT_ASSERT(planner.next_order(start + milliseconds(100)) == order);
    }

    void restarted_engine_is_filled_anew()
    {
        adapter_planner planner;
        planner.on_report(report({"a"}, 9), start);
        planner.on_demand(demand({waiting("a")}), start);
        CPPUNIT_ASSERT(!planner.next_order(start));
        auto reborn = report({}, 0);
        reborn.process_start_ms = 2;
        planner.on_report(reborn, start + milliseconds(10));
        // Under which name it has restarted is not certain yet.
        const auto order = planner.next_order(start + milliseconds(10));
        CPPUNIT_ASSERT(order == (engine_order{operation::load, "base", "a", std::nullopt, 0, ""}));
    }

    // Random demand at an engine that leaves orders unanswered and carries some out late.
    void places_are_never_exceeded()
    {
        CPPUNIT_ASSERT(
            seeded_check("places_are_never_exceeded", 5, 60, [] { check_places(0, false); }));
    }

    // The same, with restarts: an order of the engine's earlier life may be carried out in the next
    // one when the count of orders happens to be the same.
    void late_orders_do_not_overfill_a_restarted_engine()
    {
        CPPUNIT_ASSERT(
            seeded_check("late_orders_new_name", 6, 60, [] { check_places(70, false); }));
        CPPUNIT_ASSERT(
            seeded_check("late_orders_same_name", 7, 60, [] { check_places(70, true); }));
    }

private:
    // Restarts the engine each `restart_steps` steps, if that is not zero.
    static void check_places(int restart_steps, bool keeps_name)
    {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        std::mt19937_64 random(seed);
        fake_engine engine(seed + 1);
        adapter_planner planner;
        auto now = start;
        for (int step = 1; step <= 600; ++step) {
            now += milliseconds(15);
            if (restart_steps != 0 && step % restart_steps == 0) {
                engine.restart(keeps_name);
            }
            if (step % 5 == 0) {
                const auto any = [&] { return waiting("a" + std::to_string(random() % 12)); };
                auto told = demand({any(), any(), any()});
                told.upstream = engine.name();
                told.upstream_start_ms = engine.process_start_ms();
                planner.on_demand(told, now);
            }
            planner.on_report(engine.step(now), now);
            while (const auto order = planner.next_order(now)) {
                planner.on_order_result(*order, engine.take(*order, now), now);
            }
            RC_ASSERT(engine.places_taken() <= static_cast<std::size_t>(slots));
        }
        RC_ASSERT(engine.most_loads() <= 4U);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sidecar_adapter_planner_test);

} // namespace snipespar::sidecar
