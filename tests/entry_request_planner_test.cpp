#include "base/digest.h"
#include "config/access.h"
#include "config/snapshot.h"
#include "entry/caller_request.h"
#include "entry/request_planner.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <string>

namespace snipespar::entry {

class request_planner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_planner_test);
    CPPUNIT_TEST(completion_runs_on_its_teams_default_version);
    CPPUNIT_TEST(another_teams_adapter_is_refused);
    CPPUNIT_TEST(withdrawn_key_is_refused);
    CPPUNIT_TEST(key_reaches_no_part_of_the_plan);
    CPPUNIT_TEST(key_outside_its_header_is_refused);
    CPPUNIT_TEST(open_route_needs_no_key_but_refuses_a_bad_one);
    CPPUNIT_TEST(route_sets_which_methods_are_idempotent);
    CPPUNIT_TEST(bad_bodies_name_the_field);
    CPPUNIT_TEST(deep_nesting_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void completion_runs_on_its_teams_default_version()
    {
        const auto plan = planned(completion("blurb", 7));
        CPPUNIT_ASSERT_EQUAL(std::string("blurb@2"), plan.run.adapter.str());
        CPPUNIT_ASSERT_EQUAL(std::string("store://blurb/2"), plan.run.adapter_source);
        CPPUNIT_ASSERT(plan.run.team == team_id("baguio"));
        CPPUNIT_ASSERT(plan.facts.idempotent);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7 + 5}, plan.budget_tokens);
    }

    void another_teams_adapter_is_refused()
    {
        CPPUNIT_ASSERT_EQUAL(403, refused(completion("report", 7)).status);
        CPPUNIT_ASSERT_EQUAL(404, refused(completion("blurb@9", 7)).status);
        CPPUNIT_ASSERT_EQUAL(404, refused(completion("missing", 7)).status);
    }

    void withdrawn_key_is_refused()
    {
        auto request = completion("blurb", 7);
        request.headers.front().value = "Bearer sk-old";
        const auto error = refused(request);
        CPPUNIT_ASSERT_EQUAL(401, error.status);
        CPPUNIT_ASSERT_EQUAL(std::string("withdrawn_key"), error.code);
        CPPUNIT_ASSERT(error.ran == run_state::not_run);
    }

    void key_reaches_no_part_of_the_plan()
    {
        auto request = service_call("POST", "/stock/reserve");
        request.headers.push_back({"X-Copy", "my key is sk-good"});
        request.headers.push_back({"X-Api-Key", "sk-good"});
        request.headers.push_back({"Accept", "text/plain"});
        const auto plan = planned(request);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan.run.headers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("Accept"), plan.run.headers.front().name);
    }

    void key_outside_its_header_is_refused()
    {
        auto in_body = completion("blurb", 7);
        in_body.body = R"({"model":"blurb","prompt":"sk-good"})";
        CPPUNIT_ASSERT_EQUAL(std::string("key_in_request"), refused(in_body).code);
        CPPUNIT_ASSERT_EQUAL(std::string("key_in_request"),
                             refused(service_call("GET", "/stock/a?key=sk-good")).code);
    }

    void open_route_needs_no_key_but_refuses_a_bad_one()
    {
        auto request = service_call("GET", "/hours");
        request.headers.clear();
        CPPUNIT_ASSERT(planned(request).run.team.empty());
        request.headers.push_back({"X-Api-Key", "sk-old"});
        CPPUNIT_ASSERT_EQUAL(401, refused(request).status);
        CPPUNIT_ASSERT_EQUAL(404, refused(service_call("GET", "/elsewhere")).status);
    }

    void route_sets_which_methods_are_idempotent()
    {
        CPPUNIT_ASSERT(planned(service_call("GET", "/stock/a")).facts.idempotent);
        CPPUNIT_ASSERT(!planned(service_call("POST", "/stock/a")).facts.idempotent);
    }

    void bad_bodies_name_the_field()
    {
        expect_bad_field("{\"prompt\":\"x\"}", "model: must be a string");
        expect_bad_field("{\"model\":\"blurb\"}", "prompt: must be a string");
        expect_bad_field(R"({"model":"blurb","prompt":"x","max_tokens":-1})",
                         "max_tokens: must be a positive whole number");
        expect_bad_field(R"({"model":"blurb","prompt":"x","stream":"yes"})",
                         "stream: must be true or false");
        expect_bad_field("[1", "body: must be a JSON object");
    }

    void deep_nesting_is_refused()
    {
        expect_bad_field(std::string(1U << 20U, '['), "body: nests too deeply");
    }

private:
    static caller_request completion(const std::string& model, int max_tokens)
    {
        return {"POST",
                "/v1/completions",
                {{"Authorization", "Bearer sk-good"}},
                R"({"model":")" + model + R"(","prompt":"hello","max_tokens":)" +
                    std::to_string(max_tokens) + "}"};
    }

    static caller_request service_call(const std::string& method, const std::string& target)
    {
        return {method, target, {{"Authorization", "Bearer sk-good"}}, "body"};
    }

    static config::access make_access()
    {
        config::snapshot config;
        config.teams[team_id("baguio")].id = team_id("baguio");
        config.keys[key_id("k1")] = {key_id("k1"), team_id("baguio"), sha256_hex("sk-good"), false};
        config.keys[key_id("k2")] = {key_id("k2"), team_id("baguio"), sha256_hex("sk-old"), true};
        config.adapters[adapter_id("blurb")] = {
            adapter_id("blurb"),
            "base",
            {{"1", "store://blurb/1"}, {"2", "store://blurb/2"}},
            {{team_id("baguio"), {}, "2"}}};
        config.adapters[adapter_id("report")] = {adapter_id("report"),
                                                 "base",
                                                 {{"1", "store://report/1"}},
                                                 {{team_id("davao"), {}, "1"}}};
        config.routes = {{route_id("stock"), "/stock", "stock", {"GET"}, false},
                         {route_id("hours"), "/hours", "stock", {"GET"}, true}};
        return config::access(std::make_shared<const config::snapshot>(std::move(config)));
    }

    static request_plan plan(const caller_request& request)
    {
        return plan_request(make_access(), request, "r1", time_point{}, std::chrono::seconds(60));
    }

    static planned_request planned(const caller_request& request)
    {
        const auto result = plan(request);
        CPPUNIT_ASSERT(std::holds_alternative<planned_request>(result));
        return std::get<planned_request>(result);
    }

    static refusal refused(const caller_request& request)
    {
        const auto result = plan(request);
        CPPUNIT_ASSERT(std::holds_alternative<refusal>(result));
        return std::get<refusal>(result);
    }

    static void expect_bad_field(const std::string& body, const std::string& message)
    {
        auto request = completion("blurb", 7);
        request.body = body;
        const auto error = refused(request);
        CPPUNIT_ASSERT_EQUAL(400, error.status);
        CPPUNIT_ASSERT_EQUAL(message, error.message);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_planner_test);

} // namespace snipespar::entry
