#include "platform/config_codec.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <string>

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
             "engine": {"slots": 64, "kv_capacity": 244427, "adapter_slots": 16,
                        "models": [{"name": "base", "adapters": 3000}]}},
            {"name": "desk", "health_check": "/health", "max_connections": 110}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "shops", "api_keys": ["k1", "k2"], "priority": 1, "unit": "tokens",
                     "plain_tokens": 200, "rate_per_s": 100812, "burst": 100812}]})");
}

} // namespace

class platform_config_codec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_config_codec_test);
    CPPUNIT_TEST(whole_configuration_is_decoded);
    CPPUNIT_TEST(unknown_kind_of_route_is_never_repeated);
    CPPUNIT_TEST(first_faulty_field_is_named);
    CPPUNIT_TEST_SUITE_END();

public:
    void whole_configuration_is_decoded()
    {
        const auto config = decode_config(sample());
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
        CPPUNIT_ASSERT(!(*config)->find_service("desk")->engine);
        CPPUNIT_ASSERT_EQUAL(100812.0, (*config)->find_team("k2")->rate_per_s);
        CPPUNIT_ASSERT((*config)->limits().idle_timeout == milliseconds(15'000));
    }

    void unknown_kind_of_route_is_never_repeated()
    {
        auto content = sample();
        content["routes"][1]["route_type"] = "novel";
        const auto config = decode_config(content);
        CPPUNIT_ASSERT(!(*config)->find_route("a.example", "/q/x")->is_repeatable());
    }

    void first_faulty_field_is_named()
    {
        auto content = sample();
        content["routes"][1]["timeout_ms"] = "soon";
        const auto message = std::string(decode_config(content).status().message());
        CPPUNIT_ASSERT_MESSAGE(message, message.find("routes[1].timeout_ms") != std::string::npos);
        CPPUNIT_ASSERT(!decode_config(json::array()).ok());
        CPPUNIT_ASSERT(!decode_config(json()).ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_config_codec_test);

} // namespace snipespar::platform
