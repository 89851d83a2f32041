#include "sidecar/status_change.h"

#include "gateway/engine_status.h"
#include "sidecar/adapter_planner.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <set>
#include <string>
#include <vector>

namespace snipespar::sidecar {

namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds(50)};

gateway::engine_status status()
{
    gateway::engine_status result;
    result.models = {"base"};
    result.adapters = {{"base/a1", 1}, {"base/a2", 1}};
    return result;
}

engine_report report()
{
    engine_report result;
    result.process_start_ms = 1;
    result.models = {"base"};
    result.adapters = {{"base/a1", 1}, {"base/a2", 1}};
    return result;
}

void state_use(adapter_planner& planner, const std::string& gateway, const std::string& adapter,
               int running, time_point now)
{
    planner.on_demand({gateway, 1, "i-1", 1, 16, {"base"}, {{"base", adapter, 0, running, 1}}, {}},
                      now);
}

} // namespace

/// Load: engines that evict several adapters a second, of which each gateway uses few.
class sidecar_status_change_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sidecar_status_change_test);
    CPPUNIT_TEST(single_adapters_do_not_concern_all_gateways);
    CPPUNIT_TEST(eviction_concerns_its_recent_users);
    CPPUNIT_TEST(shortage_concerns_present_users);
    CPPUNIT_TEST_SUITE_END();

public:
    // Each eviction was told to all gateways, which was most of what small ones had to read.
    void single_adapters_do_not_concern_all_gateways()
    {
        auto now = status();
        now.adapters = {{"base/a2", 2}, {"base/a3", 1}};
        now.is_short_of_slots = true;
        CPPUNIT_ASSERT(!concerns_all_gateways(status(), now));
        CPPUNIT_ASSERT(
            (withdrawn_adapters(status(), now) == std::vector<std::string>{"base/a1", "base/a2"}));
        now.is_full = true;
        CPPUNIT_ASSERT(concerns_all_gateways(status(), now));
        now = status();
        now.process_start_ms = 7;
        CPPUNIT_ASSERT(concerns_all_gateways(status(), now));
    }

    void eviction_concerns_its_recent_users()
    {
        adapter_planner planner(cli::retention_rule::demand);
        planner.on_report(report(), start);
        state_use(planner, "g1", "a1", 0, start);
        state_use(planner, "g2", "a2", 0, start);
        planner.on_report(report(), start + milliseconds(500));
        CPPUNIT_ASSERT((planner.users_of({"base/a1"}) == std::set<std::string>{"g1"}));
        planner.on_report(report(), start + std::chrono::seconds(10));
        CPPUNIT_ASSERT(planner.users_of({"base/a1", "base/a2", "base/a9"}).empty());
    }

    void shortage_concerns_present_users()
    {
        adapter_planner planner(cli::retention_rule::demand);
        planner.on_report(report(), start);
        state_use(planner, "g1", "a1", 2, start);
        state_use(planner, "g2", "a2", 0, start);
        CPPUNIT_ASSERT((planner.using_gateways() == std::set<std::string>{"g1"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sidecar_status_change_test);

} // namespace snipespar::sidecar
