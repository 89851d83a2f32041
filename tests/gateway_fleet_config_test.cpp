#include "gateway/fleet_config.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <string>
#include <utility>

namespace snipespar::gateway {

namespace {

std::shared_ptr<const route_rule> make_route(const std::string& name, const std::string& host,
                                             const std::string& prefix)
{
    route_rule route;
    route.id = route_id(name);
    route.host = host;
    route.path_prefix = prefix;
    route.services = {{"desk", 1}};
    return std::make_shared<const route_rule>(std::move(route));
}

std::string found(const fleet_config& config, const std::string& host, const std::string& path)
{
    const auto* route = config.find_route(host, path);
    return route == nullptr ? std::string("none") : route->id.str();
}

} // namespace

class gateway_fleet_config_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_fleet_config_test);
    CPPUNIT_TEST(longest_prefix_of_the_host_wins);
    CPPUNIT_TEST(keys_lead_to_their_team);
    CPPUNIT_TEST(only_repeatable_calls_may_run_again);
    CPPUNIT_TEST_SUITE_END();

public:
    void longest_prefix_of_the_host_wins()
    {
        route_index routes;
        routes.add(make_route("short", "a.example", "/x/"));
        routes.add(make_route("long", "a.example", "/x/y/"));
        routes.add(make_route("other", "b.example", "/x/"));
        const fleet_config config({1, std::move(routes), {}, {}, {}});
        CPPUNIT_ASSERT_EQUAL(std::string("long"), found(config, "a.example", "/x/y/z"));
        CPPUNIT_ASSERT_EQUAL(std::string("short"), found(config, "a.example", "/x/yy"));
        CPPUNIT_ASSERT_EQUAL(std::string("other"), found(config, "b.example", "/x/y/z"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), found(config, "a.example", "/x"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), found(config, "c.example", "/x/"));
    }

    void keys_lead_to_their_team()
    {
        const fleet_config config({1, {}, {}, {{team_id("shops"), {"k1", "k2"}, 0, 1, 0, 0}}, {}});
        CPPUNIT_ASSERT(config.has_teams());
        CPPUNIT_ASSERT_EQUAL(std::string("shops"), config.find_team("k2")->id.str());
        CPPUNIT_ASSERT(config.find_team("k3") == nullptr);
        CPPUNIT_ASSERT(config.find_team("") == nullptr);
    }

    void only_repeatable_calls_may_run_again()
    {
        auto route = *make_route("r", "a", "/");
        route.kind = call_kind::unsafe;
        CPPUNIT_ASSERT(!route.is_repeatable());
        route.kind = call_kind::stream;
        CPPUNIT_ASSERT(!route.is_repeatable());
        route.is_resumable = true;
        CPPUNIT_ASSERT(route.is_repeatable());
        route.kind = call_kind::safe;
        route.is_resumable = false;
        CPPUNIT_ASSERT(route.is_repeatable());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_fleet_config_test);

} // namespace snipespar::gateway
