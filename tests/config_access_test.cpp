#include "config/access.h"

#include "base/digest.h"
#include "config/snapshot.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace snipespar::config {

class config_access_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(config_access_test);
    CPPUNIT_TEST(only_a_valid_key_identifies_its_team);
    CPPUNIT_TEST(team_runs_only_what_it_was_granted);
    CPPUNIT_TEST(longest_prefix_of_whole_segments_wins);
    CPPUNIT_TEST(ambiguous_paths_match_no_route);
    CPPUNIT_TEST_SUITE_END();

    static access make()
    {
        auto config = std::make_shared<snapshot>();
        for (const std::string name : {"north", "south"}) {
            config->teams.emplace(team_id(name), team{.id = team_id(name), .priority = "gold"});
            const key_id key("k-" + name);
            config->keys.emplace(
                key, api_key{key, team_id(name), sha256_hex("sk-" + name), name == "south"});
        }
        adapter item{adapter_id("a"), "base", {{"v1", "x"}, {"v2", "y"}}, {}};
        item.grants.push_back({team_id("north"), {"v1"}, "v1"});
        config->adapters.emplace(item.id, item);
        config->routes.push_back({route_id("all"), "/stock", "stock", {}, false});
        config->routes.push_back({route_id("hours"), "/stock/hours", "stock", {}, true});
        return access(std::move(config));
    }

    static std::string route_of(std::string_view target)
    {
        const auto rules = make();
        const auto* found = rules.find_route(target);
        return found == nullptr ? "none" : found->id.str();
    }

    static void expect_error(access_error error, const std::string& team, std::string_view model)
    {
        CPPUNIT_ASSERT(std::get<access_error>(make().resolve(team_id(team), model)) == error);
    }

public:
    void only_a_valid_key_identifies_its_team()
    {
        const auto rules = make();
        const auto north = std::get<caller>(rules.identify("sk-north"));
        CPPUNIT_ASSERT(north == (caller{team_id("north"), key_id("k-north")}));
        using error = access_error;
        CPPUNIT_ASSERT(std::get<error>(rules.identify("sk-south")) == error::withdrawn_key);
        CPPUNIT_ASSERT(std::get<error>(rules.identify("")) == error::unknown_key);
        const auto stored_hash = sha256_hex("sk-north");
        CPPUNIT_ASSERT(std::get<error>(rules.identify(stored_hash)) == error::unknown_key);
        CPPUNIT_ASSERT(rules.is_valid(key_id("k-north")));
        CPPUNIT_ASSERT(!rules.is_valid(key_id("k-south")));
        CPPUNIT_ASSERT(!rules.is_valid(key_id("other")));
    }

    void team_runs_only_what_it_was_granted()
    {
        const auto rules = make();
        const auto bare = std::get<adapter_ref>(rules.resolve(team_id("north"), "a"));
        CPPUNIT_ASSERT_EQUAL(std::string("a@v1"), bare.str());
        CPPUNIT_ASSERT_EQUAL(std::string("a@v1"),
                             std::get<adapter_ref>(rules.resolve(team_id("north"), "a@v1")).str());
        expect_error(access_error::not_allowed, "north", "a@v2");
        expect_error(access_error::unknown_version, "north", "a@v3");
        expect_error(access_error::unknown_version, "north", "a@");
        expect_error(access_error::not_allowed, "south", "a@v1");
        expect_error(access_error::unknown_adapter, "north", "b@v1");
        expect_error(access_error::unknown_adapter, "north", "");
    }

    void longest_prefix_of_whole_segments_wins()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("all"), route_of("/stock"));
        CPPUNIT_ASSERT_EQUAL(std::string("all"), route_of("/stock/17?a=/hours"));
        CPPUNIT_ASSERT_EQUAL(std::string("hours"), route_of("/stock/hours/today"));
        CPPUNIT_ASSERT_EQUAL(std::string("all"), route_of("/stock/hours-private"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), route_of("/stocks"));
    }

    void ambiguous_paths_match_no_route()
    {
        for (const std::string target :
             {"/stock/hours/../17", "/stock/hours/%2e%2E/17", "/stock/hours/..%2f17",
              "/stock//hours", "/stock/hours\\..\\17", "stock", "", "/stock/./hours"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(target, std::string("none"), route_of(target));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_access_test);

} // namespace snipespar::config
