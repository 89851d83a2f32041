#include "gateway/upstream_selector.h"

#include "gateway/service_rule.h"
#include "gateway/upstream_table.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <string>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds(50)};
const failure_domain_id near("near");
const failure_domain_id far("far");

// Nine engines with one base model each, or some plain services.
class placement_fleet {
public:
    explicit placement_fleet(int engines)
    {
        for (int i = 0; i < engines; ++i) {
            add(i, near);
            report(i, {}, 0);
        }
    }

    void add(int number, const failure_domain_id& domain)
    {
        table_.update({id(number), "llm", address(number), domain, 64, false}, start);
    }

    void report(int number, const std::map<std::string, std::uint64_t, std::less<>>& adapters,
                int running, const std::vector<std::string>& loading = {}, bool is_full = false)
    {
        engine_status status;
        status.engine = address(number).str();
        status.sidecar_start = 1;
        status.sequence = ++sequence_;
        status.models = {"base"};
        status.adapters = adapters;
        status.loading = loading;
        status.running = running;
        status.is_full = is_full;
        table_.on_engine_status(status, start);
    }

    void report_lost(int number)
    {
        engine_status status;
        status.engine = address(number).str();
        status.sidecar_start = 1;
        status.sequence = ++sequence_;
        table_.on_engine_status(status, start);
    }

    placement choose(const std::string& adapter, std::uint64_t min_version = 0,
                     std::set<upstream_id> excluded = {}, time_point now = start)
    {
        const placement_query query{"llm", adapter, "base", min_version, std::move(excluded)};
        return selector_.choose(query, service_, table_, 1, now).destination;
    }

    placement_decision choose_popular(const std::string& adapter, double share)
    {
        return selector_.choose({"llm", adapter, "base", 0, {}, share}, service_, table_, 1, start);
    }

    placement choose_in_session(const std::string& adapter, std::uint64_t session,
                                std::uint64_t shared_tokens)
    {
        return selector_
            .choose({"llm", adapter, "base", 0, {}, 1.0, session, shared_tokens}, service_, table_,
                    1, start)
            .destination;
    }

    // The first engine in the adapter's ranking.
    upstream_id home(const std::string& adapter)
    {
        return std::get<wait_for_adapter>(choose(adapter)).upstream;
    }

    static upstream_id id(int number) { return upstream_id("i-" + std::to_string(number)); }
    static int number_of(const upstream_id& id) { return std::stoi(id.str().substr(2)); }

    upstream_table& table() { return table_; }

private:
    static cli::endpoint address(int number)
    {
        return {"10.0.0." + std::to_string(number + 1), 80};
    }

    upstream_table table_;
    upstream_selector selector_{near, 1};
    service_rule service_{"llm", 300, engine_rule{64, 100'000, 16, {"base"}}};
    std::uint64_t sequence_ = 0;
};

} // namespace

class gateway_upstream_selector_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_upstream_selector_test);
    CPPUNIT_TEST(unknown_adapter_is_loaded_at_its_home);
    CPPUNIT_TEST(resident_adapter_is_used_where_it_is);
    CPPUNIT_TEST(popular_adapter_spreads_over_more_engines);
    CPPUNIT_TEST(calls_do_not_wait_for_a_replica);
    CPPUNIT_TEST(call_waits_for_a_replica_when_the_batch_is_full);
    CPPUNIT_TEST(calls_spread_over_the_resident_engines);
    CPPUNIT_TEST(rare_adapter_goes_to_its_home_even_when_that_is_busy);
    CPPUNIT_TEST(calls_are_refused_while_loads_are_backlogged);
    CPPUNIT_TEST(call_waits_for_a_loading_adapter);
    CPPUNIT_TEST(outdated_version_is_not_used);
    CPPUNIT_TEST(full_engines_are_not_overloaded);
    CPPUNIT_TEST(engine_with_a_stale_status_gets_no_loads);
    CPPUNIT_TEST(call_waits_for_the_first_report_of_a_sidecar);
    CPPUNIT_TEST(long_shared_prompt_returns_to_its_engine);
    CPPUNIT_TEST(engine_without_its_model_is_skipped);
    CPPUNIT_TEST(calls_wait_while_all_engines_start);
    CPPUNIT_TEST(base_model_call_avoids_the_busiest);
    CPPUNIT_TEST(plain_call_stays_in_its_failure_domain);
    CPPUNIT_TEST(grey_upstream_gets_less_work);
    CPPUNIT_TEST(ejected_upstream_serves_when_it_is_the_only_one);
    CPPUNIT_TEST(overloaded_upstreams_are_avoided_and_give_the_time_to_return);
    CPPUNIT_TEST(call_without_permits_goes_where_no_rate_was_named);
    CPPUNIT_TEST(stream_goes_only_to_the_version_that_began_it);
    CPPUNIT_TEST(version_without_upstreams_is_told_from_a_busy_one);
    CPPUNIT_TEST_SUITE_END();

public:
    void unknown_adapter_is_loaded_at_its_home()
    {
        placement_fleet fleet(9);
        const auto home = fleet.home("base/a1");
        CPPUNIT_ASSERT(home == fleet.home("base/a1"));
        const auto second = std::get<wait_for_adapter>(fleet.choose("base/a1", 0, {home})).upstream;
        CPPUNIT_ASSERT(second != home);
    }

    void resident_adapter_is_used_where_it_is()
    {
        placement_fleet fleet(9);
        const int other = (placement_fleet::number_of(fleet.home("base/a1")) + 1) % 9;
        fleet.report(other, {{"base/a1", 1}}, 3);
        CPPUNIT_ASSERT(fleet.choose("base/a1") == placement(send_to{placement_fleet::id(other)}));
    }

    // Load: one adapter gets a third of all calls. The first three engines of its ranking load it
    // immediately, before the first one is busy.
    void popular_adapter_spreads_over_more_engines()
    {
        placement_fleet fleet(9);
        const auto home = fleet.home("base/a1");
        const auto decision = fleet.choose_popular("base/a1", 0.3);
        CPPUNIT_ASSERT(decision.destination == placement(wait_for_adapter{home}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decision.replicas.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.choose_popular("base/a1", 0.1).replicas.size());
    }

    // Load: the demand for one adapter grows faster than its replicas. Calls still go to the engine
    // where it is resident while another engine loads it.
    void calls_do_not_wait_for_a_replica()
    {
        placement_fleet fleet(9);
        const auto home = fleet.home("base/a1");
        fleet.report(placement_fleet::number_of(home), {{"base/a1", 1}}, 40);
        const auto decision = fleet.choose_popular("base/a1", 0);
        CPPUNIT_ASSERT(decision.destination == placement(send_to{home}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decision.replicas.size());
        CPPUNIT_ASSERT(decision.replicas.front() != home);
    }

    // A call that would queue behind a full batch waits for the replica instead.
    void call_waits_for_a_replica_when_the_batch_is_full()
    {
        placement_fleet fleet(9);
        const auto home = fleet.home("base/a1");
        fleet.report(placement_fleet::number_of(home), {{"base/a1", 1}}, 70);
        const auto next = fleet.choose("base/a1");
        CPPUNIT_ASSERT(std::holds_alternative<wait_for_adapter>(next));
        CPPUNIT_ASSERT(std::get<wait_for_adapter>(next).upstream != home);
    }

    // Load: several gateways see the same loads, up to 500 ms stale.
    void calls_spread_over_the_resident_engines()
    {
        placement_fleet fleet(9);
        for (int i = 0; i < 9; ++i) {
            fleet.report(i, {{"base/a1", 1}}, i);
        }
        std::map<std::string, int> chosen;
        for (int i = 0; i < 300; ++i) {
            const auto destination = fleet.choose_popular("base/a1", 1.0).destination;
            ++chosen[std::get<send_to>(destination).upstream.str()];
        }
        CPPUNIT_ASSERT(chosen.size() >= 8U);
        CPPUNIT_ASSERT(chosen["i-0"] > chosen["i-7"]);
        CPPUNIT_ASSERT(chosen["i-0"] < 100);
    }

    // Load: many rare adapters. Each one loaded on a second engine costs one more load from the
    // store.
    void rare_adapter_goes_to_its_home_even_when_that_is_busy()
    {
        placement_fleet fleet(9);
        const auto home = fleet.home("base/a1");
        fleet.report(placement_fleet::number_of(home), {{"base/other", 1}}, 30);
        CPPUNIT_ASSERT(fleet.choose("base/a1") == placement(wait_for_adapter{home}));
    }

    // Load: more new adapters than the store can send. Calls whose load would come too late are
    // refused immediately.
    void calls_are_refused_while_loads_are_backlogged()
    {
        placement_fleet fleet(2);
        for (int i = 0; i < 2; ++i) {
            fleet.report(i, {}, 0, {}, true);
        }
        CPPUNIT_ASSERT(fleet.choose("base/a1") == placement(no_upstream{true, std::nullopt}));
    }

    void call_waits_for_a_loading_adapter()
    {
        placement_fleet fleet(9);
        const int other = (placement_fleet::number_of(fleet.home("base/a1")) + 1) % 9;
        fleet.report(other, {}, 0, {"base/a1"});
        CPPUNIT_ASSERT(fleet.choose("base/a1") ==
                       placement(wait_for_adapter{placement_fleet::id(other)}));
    }

    void outdated_version_is_not_used()
    {
        placement_fleet fleet(9);
        const auto home = fleet.home("base/a1");
        fleet.report(placement_fleet::number_of(home), {{"base/a1", 1}}, 0);
        CPPUNIT_ASSERT(fleet.choose("base/a1", 1) == placement(send_to{home}));
        CPPUNIT_ASSERT(std::holds_alternative<wait_for_adapter>(fleet.choose("base/a1", 2)));
    }

    // Load: a burst beyond the capacity of all engines; the excess is refused immediately.
    void full_engines_are_not_overloaded()
    {
        placement_fleet fleet(3);
        for (int i = 0; i < 3; ++i) {
            fleet.report(i, {{"base/a1", 1}}, 97);
        }
        CPPUNIT_ASSERT(fleet.choose("base/a1") == placement(no_upstream{true, std::nullopt}));
    }

    void engine_with_a_stale_status_gets_no_loads()
    {
        placement_fleet fleet(1);
        const auto later = start + milliseconds(2000);
        CPPUNIT_ASSERT(std::holds_alternative<wait_for_adapter>(fleet.choose("base/a1")));
        CPPUNIT_ASSERT(std::holds_alternative<no_upstream>(fleet.choose("base/a1", 0, {}, later)));
    }

    // A gateway that has just started has no report from any sidecar yet.
    void call_waits_for_the_first_report_of_a_sidecar()
    {
        placement_fleet fleet(0);
        fleet.add(0, near);
        CPPUNIT_ASSERT(fleet.choose("base/a1") ==
                       placement(wait_for_adapter{placement_fleet::id(0)}));
    }

    // Load: requests of a session share thousands of tokens; their adapter is resident everywhere.
    void long_shared_prompt_returns_to_its_engine()
    {
        placement_fleet fleet(9);
        for (int i = 0; i < 9; ++i) {
            fleet.report(i, {{"base/a1", 1}}, 3);
        }
        std::set<std::string> of_all_sessions;
        std::set<std::string> of_short_prompts;
        for (std::uint64_t session = 1; session <= 20; ++session) {
            const auto first = fleet.choose_in_session("base/a1", session, 6300);
            CPPUNIT_ASSERT(first == fleet.choose_in_session("base/a1", session, 6300));
            of_all_sessions.insert(std::get<send_to>(first).upstream.str());
            const auto any = fleet.choose_in_session("base/a1", 1, 155);
            of_short_prompts.insert(std::get<send_to>(any).upstream.str());
        }
        CPPUNIT_ASSERT(of_all_sessions.size() >= 5U);
        CPPUNIT_ASSERT(of_short_prompts.size() >= 5U);
        // A busy engine costs more than reading the prompt again.
        const auto home = fleet.choose_in_session("base/a1", 1, 6300);
        const auto number = placement_fleet::number_of(std::get<send_to>(home).upstream);
        fleet.report(number, {{"base/a1", 1}}, 40);
        CPPUNIT_ASSERT(fleet.choose_in_session("base/a1", 1, 6300) != home);
    }

    // Its sidecar reports no loaded model: it has crashed or is starting.
    void engine_without_its_model_is_skipped()
    {
        placement_fleet fleet(9);
        const auto home = fleet.home("base/a1");
        fleet.report_lost(placement_fleet::number_of(home));
        CPPUNIT_ASSERT(fleet.home("base/a1") != home);
    }

    // Load: after a power loss on all hosts every engine loads its base model.
    void calls_wait_while_all_engines_start()
    {
        placement_fleet fleet(3);
        for (int i = 0; i < 3; ++i) {
            fleet.report_lost(i);
        }
        CPPUNIT_ASSERT(std::holds_alternative<wait_for_adapter>(fleet.choose("base/a1")));
    }

    // Without an adapter all engines qualify; of two drawn engines the less busy one is chosen.
    void base_model_call_avoids_the_busiest()
    {
        placement_fleet fleet(3);
        fleet.report(0, {}, 9);
        fleet.report(1, {}, 4);
        fleet.report(2, {}, 7);
        std::map<std::string, int> chosen;
        for (int i = 0; i < 300; ++i) {
            ++chosen[std::get<send_to>(fleet.choose("")).upstream.str()];
        }
        // The busiest engine is chosen only if drawn twice: in a ninth of all cases.
        CPPUNIT_ASSERT(chosen["i-0"] < 60);
        CPPUNIT_ASSERT(chosen["i-1"] > chosen["i-2"]);
    }

    void plain_call_stays_in_its_failure_domain()
    {
        const service_rule service{"desk", 100, std::nullopt};
        upstream_table table;
        table.update({upstream_id("f"), "desk", {"10.0.0.1", 80}, far, 6, false}, start);
        table.update({upstream_id("n"), "desk", {"10.0.0.2", 80}, near, 6, false}, start);
        upstream_selector selector(near, 1);
        const placement_query query{"desk", "", "", 0, {}};
        CPPUNIT_ASSERT(selector.choose(query, service, table, 1, start).destination ==
                       placement(send_to{upstream_id("n")}));
        table.on_call_sent(upstream_id("n"), "", 0);
        CPPUNIT_ASSERT(selector.choose(query, service, table, 1, start).destination ==
                       placement(send_to{upstream_id("f")}));
    }

    // An upstream that fails part of its calls while its health check passes.
    void grey_upstream_gets_less_work()
    {
        const service_rule service{"desk", 100, std::nullopt};
        upstream_table table;
        const upstream_id grey("grey");
        table.update({grey, "desk", {"10.0.0.1", 80}, near, 6, false}, start);
        table.update({upstream_id("healthy"), "desk", {"10.0.0.2", 80}, far, 6, false}, start);
        for (int i = 0; i < 30; ++i) {
            table.on_call_sent(grey, "", 0);
            table.on_call_ended(grey, "", 0,
                                i % 2 == 0 ? call_result::failure : call_result::success, start);
        }
        upstream_selector selector(near, 1);
        CPPUNIT_ASSERT(
            selector.choose({"desk", "", "", 0, {}}, service, table, 1, start).destination ==
            placement(send_to{upstream_id("healthy")}));
    }

    void ejected_upstream_serves_when_it_is_the_only_one()
    {
        const service_rule service{"desk", 100, std::nullopt};
        upstream_table table;
        const upstream_id only("only");
        table.update({only, "desk", {"10.0.0.1", 80}, near, 6, false}, start);
        for (int i = 0; i < 10; ++i) {
            table.on_call_sent(only, "", 0);
            table.on_call_ended(only, "", 0, call_result::failure, start);
        }
        upstream_selector selector(near, 1);
        CPPUNIT_ASSERT(
            selector.choose({"desk", "", "", 0, {}}, service, table, 1, start).destination ==
            placement(send_to{only}));
    }

    // Guards against calls that ask for a permit of each of many upstreams.
    void call_without_permits_goes_where_no_rate_was_named()
    {
        const service_rule service{"desk", 100, std::nullopt};
        const std::vector<upstream_id> ids{upstream_id("a"), upstream_id("b"), upstream_id("c")};
        upstream_table table;
        for (const auto& id : ids) {
            table.update({id, "desk", {"10.0.0." + id.str(), 80}, near, 6, false}, start);
        }
        table.on_rate_named(ids[0], 2, start, start);
        table.on_rate_named(ids[1], 3, start, start);
        upstream_selector selector(near, 1);
        placement_query query{"desk", "", "", 0, {}};
        query.may_ask_for_permit = false;
        const auto choose = [&] {
            return selector.choose(query, service, table, 1, start).destination;
        };
        CPPUNIT_ASSERT(choose() == placement(send_to{ids[2]}));
        table.on_rate_named(ids[2], 4, start, start);
        CPPUNIT_ASSERT(choose() == placement(no_upstream{true, start, 9}));
    }

    // Callers are told when the first upstream accepts calls again.
    void overloaded_upstreams_are_avoided_and_give_the_time_to_return()
    {
        const service_rule service{"desk", 100, std::nullopt};
        upstream_table table;
        const upstream_id first("first");
        const upstream_id second("second");
        table.update({first, "desk", {"10.0.0.1", 80}, near, 6, false}, start);
        table.update({second, "desk", {"10.0.0.2", 80}, far, 6, false}, start);
        upstream_selector selector(near, 1);
        const auto choose = [&](time_point now) {
            return selector.choose({"desk", "", "", 0, {}}, service, table, 1, now).destination;
        };
        table.on_overloaded(first, milliseconds(3000), start);
        CPPUNIT_ASSERT(choose(start) == placement(send_to{second}));
        table.on_overloaded(second, milliseconds(2000), start);
        CPPUNIT_ASSERT(choose(start) == placement(no_upstream{true, start + milliseconds(2000)}));
        CPPUNIT_ASSERT(choose(start + milliseconds(2000)) == placement(send_to{second}));
    }

    // Guards against a stream that is continued by other software than began it.
    void stream_goes_only_to_the_version_that_began_it()
    {
        upstream_table table;
        for (int i = 0; i < 9; ++i) {
            table.update({upstream_id(std::to_string(i)),
                          "desk",
                          {"10.0.0." + std::to_string(i), 80},
                          i < 7 ? near : far,
                          6,
                          false,
                          1,
                          i < 7 ? "v1" : "v2"},
                         start);
        }
        upstream_selector selector(near, 1);
        placement_query query{"desk", "", "", 0, {}};
        query.software = "v2";
        for (int i = 0; i < 20; ++i) {
            const auto chosen =
                selector.choose(query, service_rule{"desk", 300, std::nullopt}, table, 1, start);
            const auto target = std::get<send_to>(chosen.destination).upstream.str();
            CPPUNIT_ASSERT(target == "7" || target == "8");
        }
    }

    // Guards against waiting for a version of which no upstream serves any more.
    void version_without_upstreams_is_told_from_a_busy_one()
    {
        upstream_table table;
        const upstream_id old_one("old");
        table.update({old_one, "desk", {"10.0.0.1", 80}, near, 6, false, 1, "v1"}, start);
        table.update({upstream_id("new"), "desk", {"10.0.0.2", 80}, near, 6, false, 1, "v2"},
                     start);
        upstream_selector selector(near, 1);
        const auto choose = [&](std::set<upstream_id> excluded, time_point now) {
            placement_query query{"desk", "", "", 0, std::move(excluded)};
            query.software = "v1";
            const auto chosen =
                selector.choose(query, service_rule{"desk", 300, std::nullopt}, table, 1, now);
            return std::get<no_upstream>(chosen.destination);
        };
        CPPUNIT_ASSERT(!choose({old_one}, start).is_version_gone);
        table.on_overloaded(old_one, milliseconds(700), start);
        const auto closed = choose({}, start);
        CPPUNIT_ASSERT(!closed.is_version_gone);
        CPPUNIT_ASSERT(closed.opens_at == start + milliseconds(700));
        table.update({old_one, "desk", {"10.0.0.1", 80}, near, 6, true, 1, "v1"}, start);
        const auto gone = choose({}, start);
        CPPUNIT_ASSERT(gone.is_version_gone && !gone.opens_at);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_upstream_selector_test);

} // namespace snipespar::gateway
