#include "gateway/call_explainer.h"

#include "gateway/adapter_popularity.h"
#include "gateway/explain_query.h"
#include "gateway/fleet_config.h"
#include "gateway/upstream_selector.h"
#include "gateway/upstream_table.h"
#include "gateway/version_table.h"

#include <algorithm>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstddef>
#include <fmt/format.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

namespace snipespar::gateway {

namespace {

constexpr time_point start{std::chrono::seconds(50)};
const failure_domain_id near("near");

fleet_config::parts make_parts()
{
    fleet_config::parts parts;
    parts.version = 7;
    route_rule route;
    route.id = route_id("r");
    route.host = "a.example";
    route.path_prefix = "/stream/";
    route.kind = call_kind::stream;
    route.time_limit = std::chrono::seconds(20);
    route.services = {{"llm", 3}, {"spare", 1}};
    parts.routes.add(std::make_shared<route_rule>(route));
    parts.services = {{"llm", 300, engine_rule{8, 100'000, 4, {"base"}}},
                      {"spare", 300, engine_rule{8, 100'000, 4, {"base"}}}};
    parts.teams = {{team_id("shops"), {"key-1"}, 1}};
    return parts;
}

/// A gateway with as many engines as asked for.
struct known_fleet {
    explicit known_fleet(int engines)
    {
        for (int i = 0; i < engines; ++i) {
            const cli::endpoint address{fmt::format("10.0.{}.{}", i / 250, i % 250), 80};
            table.update({upstream_id(fmt::format("i-{}", i)), "llm", address, near, 8, false},
                         start);
            engine_status status;
            status.engine = address.str();
            status.sidecar_start = 1;
            status.sequence = 1;
            status.models = {"base"};
            status.adapters["base/a1"] = 1;
            table.on_engine_status(status, start);
        }
    }

    telemetry::query_answer ask(const std::string& query) const
    {
        const call_explainer explainer("front",
                                       {&config, table, selector, popularity, versions, 2, false});
        return explainer.answer(query, start);
    }

    // The answer to a question that is refused with the status.
    nlohmann::json refusal(const std::string& query, unsigned status) const
    {
        const auto answer = ask(query);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(query, status, answer.status);
        return nlohmann::json::parse(answer.body);
    }

    fleet_config config{make_parts()};
    upstream_table table;
    upstream_selector selector{near, 1};
    adapter_popularity popularity;
    version_table versions;
};

} // namespace

class gateway_call_explainer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_call_explainer_test);
    CPPUNIT_TEST(query_is_read_as_it_was_written);
    CPPUNIT_TEST(malformed_queries_are_refused_with_their_place);
    CPPUNIT_TEST(unknown_names_are_refused_with_their_place);
    CPPUNIT_TEST(services_are_explained_by_their_share);
    CPPUNIT_TEST(answer_stays_small_with_many_engines);
    CPPUNIT_TEST_SUITE_END();

public:
    void query_is_read_as_it_was_written()
    {
        const explain_query query{.host = "a.example:80",
                                  .path = "/a b/&=%?",
                                  .model = "base",
                                  .adapter = "a/1",
                                  .team = "sh\xc3\xb6ps",
                                  .prompt_tokens = 12,
                                  .shared_tokens = 3,
                                  .session = "p1:100,p2:20"};
        auto expected = query;
        expected.path = "/a b/&=%";
        const auto target = query.target();
        CPPUNIT_ASSERT(target.starts_with("/explain?"));
        const auto parsed = explain_query::parse(target.substr(target.find('?') + 1));
        CPPUNIT_ASSERT(expected == std::get<explain_query>(parsed));
    }

    void malformed_queries_are_refused_with_their_place()
    {
        const known_fleet fleet(1);
        const std::string good = "host=a.example&path=/stream/x&model=base/a1";
        CPPUNIT_ASSERT_EQUAL(200U, fleet.ask(good).status);
        for (const auto& [query, place] : std::vector<std::pair<std::string, std::string>>{
                 {"", "host"},
                 {"host=a.example", "path"},
                 {"host=a.example&path=stream", "path"},
                 {good + "&prompt_tokens=-1", "prompt_tokens"},
                 {good + "&prompt_tokens=1e3", "prompt_tokens"},
                 {good + "&prompt_tokens=", "prompt_tokens"},
                 {good + "&shared_tokens=99999999999999999999", "shared_tokens"},
                 {good + "&prompt_tokens=1000000001", "prompt_tokens"},
                 {good + "&host=b.example", "host"},
                 {good + "&team=%zz", "team"},
                 {good + "&team=%4", "team"},
                 {good + "&team=%ff", "team"},
                 {good + "&session=" + std::string(5000, 'a'), "session"},
                 {good + "&key=secret", "query"},
                 {good + "&%ff\xff", "query"}}) {
            const auto refused = fleet.refusal(query, 400);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(query, place,
                                         refused["findings"][0]["place"].get<std::string>());
        }
        std::string many;
        for (int i = 0; i < 1000; ++i) {
            many += "&x=1";
        }
        CPPUNIT_ASSERT(fleet.refusal(many, 400)["findings"].size() <= 10);
    }

    void unknown_names_are_refused_with_their_place()
    {
        const known_fleet fleet(1);
        const auto route = fleet.refusal("host=b.example&path=/stream/x", 404);
        CPPUNIT_ASSERT_EQUAL(std::string("unknown_route"), route["error"].get<std::string>());
        const auto message = route["findings"][0]["message"].get<std::string>();
        CPPUNIT_ASSERT(message.find("b.example") != std::string::npos);
        CPPUNIT_ASSERT(message.find("/stream/x") != std::string::npos);
        const std::string known = "host=a.example&path=/stream/x";
        const auto error = [&](const std::string& query, unsigned status) {
            return fleet.refusal(query, status)["error"].get<std::string>();
        };
        CPPUNIT_ASSERT_EQUAL(std::string("unknown_team"), error(known + "&team=nobody", 404));
        CPPUNIT_ASSERT_EQUAL(std::string("unknown_model"), error(known + "&model=other/a1", 404));
        CPPUNIT_ASSERT_EQUAL(std::string("unknown_model"), error(known, 400));
    }

    void services_are_explained_by_their_share()
    {
        const known_fleet fleet(1);
        const auto answer = nlohmann::json::parse(
            fleet.ask("host=a.example&path=/stream/x&model=base/a1&team=shops").body);
        const auto& services = answer["services"];
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, services.size());
        CPPUNIT_ASSERT_EQUAL(0.75, services[0]["share"].get<double>());
        CPPUNIT_ASSERT_EQUAL(std::string("i-0"),
                             services[0]["decision"]["upstream"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("no_upstream"),
                             services[1]["decision"]["cause"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(1, answer["team"]["priority"].get<int>());
        CPPUNIT_ASSERT(answer["notes"].empty());
    }

    // Guards against answers of a megabyte, which are made on the thread that serves callers.
    void answer_stays_small_with_many_engines()
    {
        const known_fleet fleet(3800);
        const auto answer = fleet.ask("host=a.example&path=/stream/x&model=base");
        CPPUNIT_ASSERT(answer.body.size() < std::size_t{64} * 1024);
        const auto service = nlohmann::json::parse(answer.body)["services"][0];
        CPPUNIT_ASSERT_EQUAL(std::size_t{64}, service["upstreams"].size());
        CPPUNIT_ASSERT_EQUAL(3736, service["omitted"].get<int>());
        CPPUNIT_ASSERT_EQUAL(3800, service["standings"]["ready"].get<int>());
        const auto target = service["decision"]["upstream"];
        CPPUNIT_ASSERT(std::ranges::any_of(
            service["upstreams"], [&](const auto& item) { return item["upstream"] == target; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_call_explainer_test);

} // namespace snipespar::gateway
