#include "sidecar/adapter_planner.h"

#include "gateway/engine_status.h"

#include <cmath>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace snipespar::sidecar {

namespace {

using cli::retention_rule;
using std::chrono::milliseconds;
using operation = engine_order::operation;

constexpr time_point start{std::chrono::seconds(50)};

// An engine that carries out each order at once, and the gateway of all its callers.
class busy_engine {
public:
    busy_engine(retention_rule retention, int slots) : planner_(retention), slots_(slots) {}

    // A call for the adapter ends before the gateway's next message.
    void on_call(const std::string& adapter)
    {
        if (!resident_.contains("base/" + adapter)) {
            waiting_.insert(adapter);
        }
        ++begun_[adapter];
    }

    // The gateway's message and the sidecar's rounds until the next one.
    void step(milliseconds length)
    {
        std::vector<control::adapter_use> uses;
        uses.reserve(begun_.size());
        for (const auto& [adapter, calls] : begun_) {
            uses.push_back({"base", adapter, waiting_.contains(adapter) ? 1 : 0, 0, calls, {}});
        }
        planner_.on_demand({"g1", 1, "i-1", 1, slots_, {"base"}, uses, {}}, now_);
        for (int round = 0; round < 5; ++round, now_ += length / 5) {
            planner_.on_report(report(), now_);
            while (const auto order = planner_.next_order(now_)) {
                carry_out(*order);
                planner_.on_order_result(*order, order_result::done, now_);
                planner_.on_report(report(), now_);
            }
        }
        planner_.on_demand({"g1", 1, "i-1", 1, slots_, {"base"}, {}, {}}, now_);
        begun_.clear();
        waiting_.clear();
    }

    int loads() const { return loads_; }
    bool holds(const std::string& adapter) const { return resident_.contains("base/" + adapter); }

private:
    engine_report report() const
    {
        engine_report result;
        result.process_start_ms = 1;
        result.orders_accepted = orders_;
        result.models = {"base"};
        for (const auto& name : resident_) {
            result.adapters[name] = 1;
        }
        return result;
    }

    void carry_out(const engine_order& order)
    {
        ++orders_;
        const auto name = order.model + "/" + order.adapter;
        if (order.op == operation::load) {
            ++loads_;
            resident_.insert(name);
        }
        else {
            resident_.erase(name);
        }
    }

    adapter_planner planner_;
    int slots_;
    time_point now_ = start;
    std::uint64_t orders_ = 0;
    int loads_ = 0;
    std::set<std::string> resident_;
    std::set<std::string> waiting_;
    std::map<std::string, int> begun_;
};

// Loads of an engine with 16 slots while 250 adapters are asked for, a few of them much more often.
int loads_under_skewed_demand(retention_rule retention, std::uint64_t seed)
{
    constexpr int adapters = 250;
    constexpr int calls_per_step = 5;
    constexpr int steps = 240;
    std::vector<double> weights;
    for (int rank = 1; rank <= adapters; ++rank) {
        weights.push_back(std::pow(rank, -1.2));
    }
    std::mt19937_64 random(seed);
    std::discrete_distribution<int> draw(weights.begin(), weights.end());
    busy_engine engine(retention, 16);
    for (int step = 0; step < steps; ++step) {
        for (int call = 0; call < calls_per_step; ++call) {
            engine.on_call("a" + std::to_string(draw(random)));
        }
        engine.step(milliseconds(500));
    }
    return engine.loads();
}

} // namespace

class sidecar_adapter_retention_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sidecar_adapter_retention_test);
    CPPUNIT_TEST(skewed_demand_needs_fewer_loads);
    CPPUNIT_TEST(adapter_in_steady_demand_outlives_single_calls);
    CPPUNIT_TEST(calls_that_can_begin_in_time_are_loaded_for_first);
    CPPUNIT_TEST(demand_that_has_moved_is_forgotten);
    CPPUNIT_TEST(calls_of_gateways_that_state_no_count_are_seen);
    CPPUNIT_TEST(flood_of_names_does_not_grow_the_history);
    CPPUNIT_TEST(excessive_count_is_bounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Far more adapters are asked for than there are slots, a few of them most of the time.
    void skewed_demand_needs_fewer_loads()
    {
        for (const std::uint64_t seed : {1, 2, 3}) {
            const int by_recency = loads_under_skewed_demand(retention_rule::recency, seed);
            const int by_demand = loads_under_skewed_demand(retention_rule::demand, seed);
            CPPUNIT_ASSERT(by_demand < 0.9 * by_recency);
        }
    }

    // The adapter that most calls use was evicted, as rarer ones had been used a moment later.
    void adapter_in_steady_demand_outlives_single_calls()
    {
        busy_engine engine(retention_rule::demand, 4);
        for (int step = 0; step < 10; ++step) {
            engine.on_call("steady");
            engine.step(milliseconds(500));
        }
        for (int step = 0; step < 6; ++step) {
            engine.on_call("rare" + std::to_string(step));
            engine.step(milliseconds(500));
            CPPUNIT_ASSERT(engine.holds("steady"));
        }
    }

    // While more is asked for than can be loaded, loads for the calls that had waited longest let
    // all calls be late.
    void calls_that_can_begin_in_time_are_loaded_for_first()
    {
        adapter_planner planner(retention_rule::demand);
        engine_report empty;
        empty.process_start_ms = 1;
        empty.models = {"base"};
        planner.on_report(empty, start);
        const control::adapter_use late{"base", "late", 3, 0, 0, {}};
        const control::adapter_use timely{"base", "timely", 1, 0, 0, milliseconds(600)};
        planner.on_demand({"g1", 1, "i-1", 1, 16, {"base"}, {late}, {}}, start);
        const auto now = start + milliseconds(900);
        planner.on_demand({"g1", 1, "i-1", 1, 16, {"base"}, {late, timely}, {}}, now);
        planner.on_report(empty, now);
        CPPUNIT_ASSERT_EQUAL(std::string("timely"), planner.next_order(now)->adapter);
        // By then it is late, too.
        const auto later = now + milliseconds(700);
        planner.on_report(empty, later);
        CPPUNIT_ASSERT_EQUAL(std::string("late"), planner.next_order(later)->adapter);
    }

    void demand_that_has_moved_is_forgotten()
    {
        adapter_history history;
        history.on_calls("base/old", 100, start);
        const auto later = start + std::chrono::seconds(60);
        history.on_calls("base/new", 2, later);
        CPPUNIT_ASSERT(history.calls("base/old", later) < history.calls("base/new", later));
    }

    // In a roll, or after a lost message, a busy adapter counted as unused and was evicted first.
    void calls_of_gateways_that_state_no_count_are_seen()
    {
        adapter_planner planner(retention_rule::demand);
        const auto state = [&](const std::string& gateway,
                               const std::vector<control::adapter_use>& uses, time_point now) {
            planner.on_demand({gateway, 1, "i-1", 1, 2, {"base"}, uses, {}}, now);
        };
        engine_report report;
        report.process_start_ms = 1;
        report.models = {"base"};
        report.adapters = {{"base/busy", 1}, {"base/rare", 1}};
        auto now = start;
        for (int i = 0; i < 10; ++i, now += milliseconds(500)) {
            planner.on_report(report, now);
            state("earlier build", {{"base", "busy", 0, 3}}, now);
            state("earlier build", {}, now + milliseconds(250));
        }
        state("g1", {{"base", "rare", 0, 0, 1}}, now);
        now += milliseconds(500);
        planner.on_report(report, now);
        planner.next_order(now);
        const auto status = planner.status();
        CPPUNIT_ASSERT(status.adapters.contains("base/busy"));
        CPPUNIT_ASSERT(!status.adapters.contains("base/rare"));
    }

    void flood_of_names_does_not_grow_the_history()
    {
        adapter_history history;
        history.on_calls("base/used", 1000, start);
        for (int i = 0; i < 100'000; ++i) {
            history.on_calls("base/" + std::to_string(i), 1, start + milliseconds(i));
        }
        CPPUNIT_ASSERT(history.size() <= 2048);
    }

    // One gateway must not pin an adapter by what it states.
    void excessive_count_is_bounded()
    {
        adapter_history history;
        history.on_calls("base/a", 2'000'000'000, start);
        history.on_calls("base/b", -5, start);
        CPPUNIT_ASSERT(history.calls("base/a", start) <= 1000);
        CPPUNIT_ASSERT_EQUAL(0.0, history.calls("base/b", start));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sidecar_adapter_retention_test);

} // namespace snipespar::sidecar
