#include "gateway/service_rule.h"
#include "gateway/upstream_selector.h"
#include "gateway/upstream_table.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdint>
#include <map>
#include <string>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds(50)};
constexpr std::uint64_t short_prompt = 646;
constexpr double usual_speed = 53;
constexpr double slow_speed = 24;

/// Eight engines whose sidecars state their work; engine 0 reads at less than half of the speed.
class uneven_fleet {
public:
    static constexpr int engines = 8;

    uneven_fleet()
    {
        for (int i = 0; i < engines; ++i) {
            table_.update({id(i), "llm", address(i), failure_domain_id("near"), 48, false}, start);
            report(i, {});
        }
    }

    void report(int number, const engine_workload& workload,
                const std::map<std::string, std::uint64_t, std::less<>>& adapters = {})
    {
        engine_status status;
        status.engine = address(number).str();
        status.sidecar_start = 1;
        status.sequence = ++sequence_;
        status.models = {"base"};
        status.adapters = adapters;
        status.running = 5;
        status.workload = workload;
        if (status.workload.tokens_per_ms == 0) {
            status.workload.tokens_per_ms = number == 0 ? slow_speed : usual_speed;
        }
        table_.on_engine_status(status, start);
    }

    placement_decision choose(const std::string& adapter,
                              std::uint64_t prompt_tokens = short_prompt)
    {
        placement_query query;
        query.service = "llm";
        query.adapter = adapter;
        query.model = "base";
        query.share = 1.0;
        query.prompt_tokens = prompt_tokens;
        query.aim = milliseconds(800);
        return selector_.choose(query, service_, table_, 1, start);
    }

    // Times that each engine gets one of the calls, which are sent.
    std::map<std::string, int> send(int calls, std::uint64_t prompt_tokens)
    {
        std::map<std::string, int> chosen;
        for (int i = 0; i < calls; ++i) {
            const auto target =
                std::get<send_to>(choose("base/a1", prompt_tokens).destination).upstream;
            table_.on_call_sent(target, "base/a1", prompt_tokens);
            ++chosen[target.str()];
        }
        return chosen;
    }

    static upstream_id id(int number) { return upstream_id("i-" + std::to_string(number)); }
    static int number_of(const upstream_id& id) { return std::stoi(id.str().substr(2)); }

private:
    static cli::endpoint address(int number)
    {
        return {"10.0.0." + std::to_string(number + 1), 80};
    }

    upstream_table table_;
    upstream_selector selector_{failure_domain_id("near"), 1};
    service_rule service_{"llm", 300, engine_rule{48, 100'000, 16, {"base"}}};
    std::uint64_t sequence_ = 0;
};

const std::map<std::string, std::uint64_t, std::less<>> resident{{"base/a1", 1}};

} // namespace

/// Load: engines of one service that differ in speed, and prompts that differ in length, so that
/// equal numbers of calls are unequal work.
class gateway_placement_by_work_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_placement_by_work_test);
    CPPUNIT_TEST(engine_with_less_unread_work_is_chosen);
    CPPUNIT_TEST(slow_engine_gets_fewer_calls);
    CPPUNIT_TEST_SUITE_END();

public:
    void engine_with_less_unread_work_is_chosen()
    {
        uneven_fleet fleet;
        for (int i = 0; i < uneven_fleet::engines; ++i) {
            fleet.report(i, {i == 5 ? 0U : 30'000U, 0}, resident);
        }
        for (int i = 0; i < 50; ++i) {
            const auto target = std::get<send_to>(fleet.choose("base/a1").destination).upstream;
            CPPUNIT_ASSERT_EQUAL(std::string("i-5"), target.str());
        }
    }

    void slow_engine_gets_fewer_calls()
    {
        uneven_fleet fleet;
        for (int i = 0; i < uneven_fleet::engines; ++i) {
            fleet.report(i, {}, resident);
        }
        const auto chosen = fleet.send(80, short_prompt);
        // An even share would be ten.
        CPPUNIT_ASSERT(chosen.at("i-0") <= 7);
        for (int i = 1; i < uneven_fleet::engines; ++i) {
            CPPUNIT_ASSERT(chosen.at("i-" + std::to_string(i)) >= 8);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_placement_by_work_test);

} // namespace snipespar::gateway
