#include "platform/config_reader.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace snipespar::platform {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

json sample()
{
    return json::parse(R"({
        "version": 7,
        "routes": [
            {"name": "r-1", "host": "a.example", "path_prefix": "/p/", "route_type": "streaming",
             "timeout_ms": 5000, "target_latency_ms": 600, "priority": 2, "max_attempts": 2,
             "weighted_upstreams": [{"upstream": "llm", "weight": 90},
                                    {"upstream": "desk", "weight": 10}],
             "public": false, "sticky": true, "resumable": true, "gap_aim_ms": 400},
            {"name": "r-2", "host": "a.example", "path_prefix": "/q/", "route_type": "safe",
             "timeout_ms": 600, "target_latency_ms": 100, "priority": 0, "max_attempts": 2,
             "upstream": "desk", "public": true}],
        "upstreams": [
            {"name": "llm", "health_check": "/health", "max_connections": 370,
             "cold_start_s": 2.5, "cold_per_s": 35.0,
             "engine": {"slots": 64, "kv_capacity": 244427, "adapter_slots": 16,
                        "models": [{"name": "base", "adapters": 3000}]}},
            {"name": "desk", "health_check": "/health", "max_connections": 110}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "shops", "api_keys": ["k1", "k2"], "priority": 1, "unit": "tokens",
                     "plain_tokens": 200, "rate_per_s": 100812, "burst": 100812}]})");
}

} // namespace

class platform_config_reader_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_config_reader_test);
    CPPUNIT_TEST(whole_configuration_is_decoded);
    CPPUNIT_TEST(unknown_kind_of_route_is_never_repeated);
    CPPUNIT_TEST(first_faulty_field_is_named);
    CPPUNIT_TEST(unchanged_routes_are_shared_between_versions);
    CPPUNIT_TEST(large_version_is_read_in_small_steps);
    CPPUNIT_TEST(faulty_version_leaves_the_one_in_use);
    CPPUNIT_TEST(version_that_is_not_newer_is_not_read);
    CPPUNIT_TEST(later_version_replaces_one_that_is_being_read);
    CPPUNIT_TEST_SUITE_END();

public:
    void whole_configuration_is_decoded()
    {
        const auto config = decode_config(sample().dump());
        CPPUNIT_ASSERT_MESSAGE(std::string(config.status().message()), config.ok());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, (*config)->version());
        const auto* stream = (*config)->find_route("a.example", "/p/x");
        CPPUNIT_ASSERT(stream != nullptr);
        CPPUNIT_ASSERT(stream->kind == gateway::call_kind::stream && stream->is_resumable);
        CPPUNIT_ASSERT(stream->time_limit == milliseconds(5000));
        CPPUNIT_ASSERT(stream->target_gap == milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stream->services.size());
        const auto* plain = (*config)->find_route("a.example", "/q/x");
        CPPUNIT_ASSERT(plain->is_public && plain->services.front().service == "desk");
        CPPUNIT_ASSERT_EQUAL(16, (*config)->find_service("llm")->engine->adapter_slots);
        CPPUNIT_ASSERT((*config)->find_service("llm")->cold_time == milliseconds(2500));
        CPPUNIT_ASSERT_EQUAL(35.0, (*config)->find_service("llm")->cold_rate_per_s);
        CPPUNIT_ASSERT_EQUAL(0.0, (*config)->find_service("desk")->cold_rate_per_s);
        CPPUNIT_ASSERT(!(*config)->find_service("desk")->engine);
        CPPUNIT_ASSERT_EQUAL(100812.0, (*config)->find_team("k2")->rate_per_s);
        CPPUNIT_ASSERT((*config)->limits().idle_timeout == milliseconds(15'000));
    }

    void unknown_kind_of_route_is_never_repeated()
    {
        auto content = sample();
        content["routes"][1]["route_type"] = "novel";
        const auto config = decode_config(content.dump());
        CPPUNIT_ASSERT(!(*config)->find_route("a.example", "/q/x")->is_repeatable());
    }

    void first_faulty_field_is_named()
    {
        auto content = sample();
        content["routes"][1]["timeout_ms"] = "soon";
        const auto message = std::string(decode_config(content.dump()).status().message());
        CPPUNIT_ASSERT_MESSAGE(message, message.find("routes[1].timeout_ms") != std::string::npos);
        CPPUNIT_ASSERT(!decode_config("[]").ok());
        CPPUNIT_ASSERT(!decode_config("null").ok());
    }

    void unchanged_routes_are_shared_between_versions()
    {
        config_reader reader;
        auto content = large(100);
        const auto first = read(reader, content);
        content["version"] = 8;
        content["routes"][1]["timeout_ms"] = 700;
        content["routes"].erase(5);
        const auto second = read(reader, content);
        CPPUNIT_ASSERT(first->find_route("h.example", "/0/") ==
                       second->find_route("h.example", "/0/"));
        CPPUNIT_ASSERT(first->find_route("h.example", "/1/")->time_limit == milliseconds(600));
        CPPUNIT_ASSERT(second->find_route("h.example", "/1/")->time_limit == milliseconds(700));
        CPPUNIT_ASSERT(first->find_route("h.example", "/5/") != nullptr);
        CPPUNIT_ASSERT(second->find_route("h.example", "/5/") == nullptr);
    }

    // Guards against a large version that holds up callers while it is read.
    void large_version_is_read_in_small_steps()
    {
        constexpr int routes = 4'250;
        constexpr int steps_of_decoded = 40;
        constexpr int steps_of_shared = 4;
        config_reader reader;
        auto content = large(routes);
        CPPUNIT_ASSERT(count_steps(reader, content) > steps_of_decoded);
        content["version"] = 8;
        content["routes"][1]["timeout_ms"] = 700;
        CPPUNIT_ASSERT(count_steps(reader, content) <= steps_of_shared);
    }

    void faulty_version_leaves_the_one_in_use()
    {
        config_reader reader;
        auto content = large(10);
        const auto first = read(reader, content);
        content["version"] = 8;
        content["routes"][9]["timeout_ms"] = "soon";
        reader.begin(content.dump());
        CPPUNIT_ASSERT(absl::IsInvalidArgument(end_of(reader).status()));
        CPPUNIT_ASSERT(!reader.is_reading());
        reader.begin(R"({"version":9,"routes":[{"name":)");
        CPPUNIT_ASSERT(absl::IsInvalidArgument(end_of(reader).status()));
        content["version"] = 10;
        content["routes"][9]["timeout_ms"] = 800;
        const auto third = read(reader, content);
        CPPUNIT_ASSERT(first->find_route("h.example", "/0/") ==
                       third->find_route("h.example", "/0/"));
    }

    void version_that_is_not_newer_is_not_read()
    {
        config_reader reader;
        read(reader, large(10));
        auto older = large(20);
        older["version"] = 6;
        reader.begin(older.dump());
        CPPUNIT_ASSERT(absl::IsAlreadyExists(end_of(reader).status()));
        CPPUNIT_ASSERT(!reader.is_reading());
    }

    void later_version_replaces_one_that_is_being_read()
    {
        config_reader reader;
        auto content = large(1'000);
        reader.begin(content.dump());
        CPPUNIT_ASSERT(!reader.read_on());
        CPPUNIT_ASSERT(!reader.read_on());
        content["version"] = 9;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, read(reader, content)->version());
    }

private:
    static json large(int routes)
    {
        auto content = sample();
        content["routes"] = json::array();
        for (int i = 0; i < routes; ++i) {
            content["routes"].push_back({{"name", std::to_string(i)},
                                         {"host", "h.example"},
                                         {"path_prefix", "/" + std::to_string(i) + "/"},
                                         {"route_type", "safe"},
                                         {"timeout_ms", 600},
                                         {"upstream", "desk"}});
        }
        return content;
    }

    static config_reader::result end_of(config_reader& reader)
    {
        auto result = reader.read_on();
        while (!result) {
            result = reader.read_on();
        }
        return *std::move(result);
    }

    static std::shared_ptr<const gateway::fleet_config> read(config_reader& reader,
                                                             const json& content)
    {
        reader.begin(content.dump());
        auto config = end_of(reader);
        CPPUNIT_ASSERT_MESSAGE(std::string(config.status().message()), config.ok());
        return *std::move(config);
    }

    static int count_steps(config_reader& reader, const json& content)
    {
        reader.begin(content.dump());
        int steps = 1;
        while (!reader.read_on()) {
            ++steps;
        }
        return steps;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_config_reader_test);

} // namespace snipespar::platform
