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

// An engine that carries out orders with a delay and randomly leaves some without a response.
class fake_engine {
public:
    explicit fake_engine(std::uint64_t seed) : random_(seed) {}

    order_result handle(const engine_order& order, time_point now)
    {
        const bool is_unresponsive = std::bernoulli_distribution(0.2)(random_);
        if (is_unresponsive && std::bernoulli_distribution(0.5)(random_)) {
            delayed_.emplace_back(now + milliseconds(300 + 100 * (random_() % 40)), order);
            return order_result::unknown;
        }
        const auto result = execute(order, now);
        return is_unresponsive ? order_result::unknown : result;
    }

    // Restarts empty; delayed orders reach the next incarnation.
    void restart(bool keeps_name)
    {
        accepted_ = 0;
        resident_.clear();
        loading_.clear();
        evicting_.clear();
        ++process_start_ms_;
        if (!keeps_name) {
            name_ = "i-" + std::to_string(process_start_ms_);
        }
    }

    const std::string& name() const { return name_; }
    std::uint64_t process_start_ms() const { return process_start_ms_; }

    engine_report step(time_point now)
    {
        for (auto item = delayed_.begin(); item != delayed_.end();) {
            if (item->first <= now) {
                execute(item->second, now);
                item = delayed_.erase(item);
            }
            else {
                ++item;
            }
        }
        for (auto item = loading_.begin(); item != loading_.end();) {
            if (item->second <= now) {
                resident_.insert(item->first);
                item = loading_.erase(item);
            }
            else {
                ++item;
            }
        }
        std::erase_if(evicting_, [&](const auto& item) {
            return item.second <= now && resident_.erase(item.first) > 0;
        });
        engine_report result = report({}, accepted_);
        result.process_start_ms = process_start_ms_;
        for (const auto& name : resident_) {
            result.adapters[name] = 1;
        }
        for (const auto& [name, when] : loading_) {
            result.loading.push_back(name);
        }
        return result;
    }

    std::size_t slots_taken() const { return resident_.size() + loading_.size(); }
    std::size_t max_concurrent_loads() const { return max_concurrent_loads_; }

private:
    order_result execute(const engine_order& order, time_point now)
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
            max_concurrent_loads_ = std::max(max_concurrent_loads_, loading_.size());
        }
        else if (std::bernoulli_distribution(0.3)(random_)) {
            // Runs still use it.
            evicting_[name] = now + milliseconds(200);
        }
        else {
            resident_.erase(name);
            return order_result::done;
        }
        return order_result::accepted;
    }

    std::mt19937_64 random_;
    std::uint64_t accepted_ = 0;
    std::set<std::string> resident_;
    std::map<std::string, time_point> loading_;
    std::map<std::string, time_point> evicting_;
    std::vector<std::pair<time_point, engine_order>> delayed_;
    std::size_t max_concurrent_loads_ = 0;
    std::uint64_t process_start_ms_ = 1;
    std::string name_ = "i-1";
};

} // namespace

class sidecar_adapter_planner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sidecar_adapter_planner_test);
    CPPUNIT_TEST(nothing_is_ordered_before_a_report);
    CPPUNIT_TEST(pending_adapter_is_loaded);
    CPPUNIT_TEST(empty_engine_loads_its_model_first);
    CPPUNIT_TEST(refused_load_of_the_model_is_repeated_soon);
    CPPUNIT_TEST(name_of_an_earlier_incarnation_is_not_used);
    CPPUNIT_TEST(busy_weight_store_is_asked_for_fewer_loads);
    CPPUNIT_TEST(least_recently_used_adapter_is_evicted);
    CPPUNIT_TEST(adapter_in_use_is_never_evicted);
    CPPUNIT_TEST(adapter_is_withdrawn_before_eviction);
    CPPUNIT_TEST(slot_is_taken_until_the_last_run_has_ended);
    CPPUNIT_TEST(recent_use_does_not_delay_pending_adapters);
    CPPUNIT_TEST(outdated_adapter_is_replaced_within_its_time);
    CPPUNIT_TEST(unresolved_order_is_repeated_after_the_report);
    CPPUNIT_TEST(unresolved_order_withdraws_nothing);
    CPPUNIT_TEST(restarted_engine_is_reloaded);
    CPPUNIT_TEST(slots_are_never_exceeded);
    CPPUNIT_TEST(late_orders_do_not_overfill_a_restarted_engine);
    CPPUNIT_TEST_SUITE_END();

public:
    void nothing_is_ordered_before_a_report()
    {
        adapter_planner planner;
        planner.on_demand(demand({waiting("a1")}), start);
        CPPUNIT_ASSERT(!planner.next_order(start));
    }

    void pending_adapter_is_loaded()
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
        // Further loads would only use up the fleet's limit.
        CPPUNIT_ASSERT(!planner.next_order(start + milliseconds(100)));
    }

    // After a power loss gateways know an engine by its earlier name for some seconds, so its
    // first order may be refused.
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

    void name_of_an_earlier_incarnation_is_not_used()
    {
        adapter_planner planner;
        auto message = demand({waiting("a1")});
        planner.on_demand(message, start);
        auto restarted = report({});
        restarted.process_start_ms = 2;
        planner.on_report(restarted, start);
        CPPUNIT_ASSERT_EQUAL(std::string(), planner.next_order(start)->upstream);
        message.upstream = "i-2";
        message.upstream_start_ms = 2;
        planner.on_demand(message, start);
        // Another gateway still reports the earlier incarnation.
        planner.on_demand(demand({waiting("a1")}, "g2"), start);
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), planner.next_order(start)->upstream);
    }

    // Load: many rare adapters. An engine has four loads in flight while the store is fast, and two
    // when the concurrent loads of all engines slow it down.
    void busy_weight_store_is_asked_for_fewer_loads()
    {
        adapter_planner planner;
        auto message = demand({waiting("a1"), waiting("a2"), waiting("a3"), waiting("a4")});
        message.adapter_slots = 16;
        const auto concurrent_loads = [&](time_point now, const std::set<std::string>& resident) {
            planner.on_report(report(resident), now);
            planner.on_demand(message, now);
            int orders = 0;
            while (const auto order = planner.next_order(now)) {
                planner.on_order_result(*order, order_result::accepted, now);
                ++orders;
            }
            return orders;
        };
        CPPUNIT_ASSERT_EQUAL(2, concurrent_loads(start, {}));
        auto now = start + milliseconds(250);
        std::set<std::string> resident{"a1", "a2", "a3", "a4"};
        planner.on_report(report(resident), now);
        message.uses = {waiting("d1"), waiting("d2"), waiting("d3"), waiting("d4")};
        CPPUNIT_ASSERT_EQUAL(4, concurrent_loads(now, resident));
        now += milliseconds(260);
        resident = {"d1", "d2", "d3", "d4"};
        planner.on_report(report(resident), now);
        for (int round = 1; round <= 12; ++round) {
            const auto name = "b" + std::to_string(round);
            message.uses = {waiting(name)};
            CPPUNIT_ASSERT_EQUAL(1, concurrent_loads(now, resident));
            now += milliseconds(900);
            resident = {name};
            planner.on_report(report(resident), now);
        }
        message.uses = {waiting("c1"), waiting("c2"), waiting("c3"), waiting("c4")};
        CPPUNIT_ASSERT_EQUAL(2, concurrent_loads(now, resident));
    }

    void least_recently_used_adapter_is_evicted()
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

    void adapter_in_use_is_never_evicted()
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

    void adapter_is_withdrawn_before_eviction()
    {
        adapter_planner planner;
        planner.on_report(report({"a", "b", "c", "d"}), start);
        const auto now = start + milliseconds(1000);
        planner.on_demand(demand({waiting("e")}), now);
        CPPUNIT_ASSERT(!planner.next_order(now));
        const auto advertised = planner.status().adapters;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, advertised.size());
        const auto order = planner.next_order(now + milliseconds(100));
        CPPUNIT_ASSERT(order && order->op == operation::unload);
        CPPUNIT_ASSERT(!advertised.contains("base/" + order->adapter));
    }

    // An engine accepts an unload immediately but evicts the adapter only after its last run.
    void slot_is_taken_until_the_last_run_has_ended()
    {
        adapter_planner planner;
        planner.on_report(report({"a", "b", "c", "d"}), start);
        auto now = start + milliseconds(1000);
        planner.on_demand(demand({waiting("e")}), now);
        CPPUNIT_ASSERT(!planner.next_order(now));
        now += milliseconds(100);
        const auto first_unload = planner.next_order(now);
        CPPUNIT_ASSERT(first_unload && first_unload->op == operation::unload);
        planner.on_order_result(*first_unload, order_result::accepted, now);
        const auto second_unload = planner.next_order(now);
        CPPUNIT_ASSERT(second_unload && second_unload->op == operation::unload);
        planner.on_order_result(*second_unload, order_result::done, now);
        const auto load = planner.next_order(now);
        CPPUNIT_ASSERT(load && load->op == operation::load);
        planner.on_order_result(*load, order_result::accepted, now);
        planner.on_demand(demand({waiting("e"), waiting("f")}), now);
        const auto next = planner.next_order(now);
        CPPUNIT_ASSERT(!next || next->op == operation::unload);
    }

    // Load: more rare adapters concurrently than an engine has slots. Waiting calls take precedence
    // over recent use.
    void recent_use_does_not_delay_pending_adapters()
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
        auto message = demand({});
        message.versions = {{"base/a", 2}};
        planner.on_demand(message, start);
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

    // Otherwise gateways would redirect their calls and have all adapters loaded elsewhere.
    void unresolved_order_withdraws_nothing()
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

    void unresolved_order_is_repeated_after_the_report()
    {
        adapter_planner planner;
        planner.on_report(report({}, 3), start);
        planner.on_demand(demand({waiting("a1")}), start);
        const auto order = planner.next_order(start);
        planner.on_order_result(*order, order_result::unknown, start);
        CPPUNIT_ASSERT(!planner.next_order(start + milliseconds(100)));
        // The order was not accepted: it is repeated with the same count, so that at most one is.
        planner.on_report(report({}, 3), start + milliseconds(100));
        CPPUNIT_ASSERT(planner.next_order(start + milliseconds(100)) == order);
    }

    void restarted_engine_is_reloaded()
    {
        adapter_planner planner;
        planner.on_report(report({"a"}, 9), start);
        planner.on_demand(demand({waiting("a")}), start);
        CPPUNIT_ASSERT(!planner.next_order(start));
        auto restarted = report({}, 0);
        restarted.process_start_ms = 2;
        planner.on_report(restarted, start + milliseconds(10));
        // The name of the new incarnation is not known yet.
        const auto order = planner.next_order(start + milliseconds(10));
        CPPUNIT_ASSERT(order == (engine_order{operation::load, "base", "a", std::nullopt, 0, ""}));
    }

    // Random demand on an engine that leaves orders unresolved and carries some out late.
    void slots_are_never_exceeded()
    {
        CPPUNIT_ASSERT(
            seeded_check("slots_are_never_exceeded", 5, 60, [] { check_slots(0, false); }));
    }

    // The same with restarts: an order for an earlier incarnation may be carried out by the next
    // one if their counts of orders happen to match.
    void late_orders_do_not_overfill_a_restarted_engine()
    {
        CPPUNIT_ASSERT(seeded_check("late_orders_new_name", 6, 60, [] { check_slots(70, false); }));
        CPPUNIT_ASSERT(seeded_check("late_orders_same_name", 7, 60, [] { check_slots(70, true); }));
    }

private:
    // Restarts the engine every `restart_steps` steps unless zero.
    static void check_slots(int restart_steps, bool keeps_name)
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
                auto message = demand({any(), any(), any()});
                message.upstream = engine.name();
                message.upstream_start_ms = engine.process_start_ms();
                planner.on_demand(message, now);
            }
            planner.on_report(engine.step(now), now);
            while (const auto order = planner.next_order(now)) {
                planner.on_order_result(*order, engine.handle(*order, now), now);
            }
            RC_ASSERT(engine.slots_taken() <= static_cast<std::size_t>(slots));
        }
        RC_ASSERT(engine.max_concurrent_loads() <= 4U);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sidecar_adapter_planner_test);

} // namespace snipespar::sidecar
