#include "platform/upstream_entry_codec.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <string>

namespace snipespar::platform {

namespace {

using nlohmann::json;

json sample()
{
    return {{"upstream", "llm"}, {"address", "10.1.0.9:8080"}, {"zone", "a"}, {"version", "v1"},
            {"slots", 64U},      {"state", "ready"},           {"seq", 4}};
}

} // namespace

class platform_upstream_entry_codec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_upstream_entry_codec_test);
    CPPUNIT_TEST(entry_is_decoded);
    CPPUNIT_TEST(malformed_entry_is_refused);
    CPPUNIT_TEST(name_that_no_upstream_may_have_is_refused);
    CPPUNIT_TEST(unstated_software_equals_no_other);
    CPPUNIT_TEST_SUITE_END();

public:
    void entry_is_decoded()
    {
        auto content = sample();
        const auto ready = decode_upstream_entry("i-1", content);
        CPPUNIT_ASSERT(ready.ok());
        CPPUNIT_ASSERT(*ready == (gateway::upstream_entry{upstream_id("i-1"),
                                                          "llm",
                                                          {"10.1.0.9", 8080},
                                                          failure_domain_id("a"),
                                                          64,
                                                          false,
                                                          0,
                                                          "v1"}));
        content["state"] = "draining";
        CPPUNIT_ASSERT(decode_upstream_entry("i-1", content)->is_draining);
        content["cold_remaining_ms"] = 1500;
        CPPUNIT_ASSERT(decode_upstream_entry("i-1", content)->cold_time ==
                       duration(std::chrono::milliseconds(1500)));
        content["cold_remaining_ms"] = 1e200;
        CPPUNIT_ASSERT(decode_upstream_entry("i-1", content)->cold_time ==
                       duration(std::chrono::hours(1)));
        content["cold_remaining_ms"] = "soon";
        CPPUNIT_ASSERT(!decode_upstream_entry("i-1", content).ok());
    }

    // Guards against calls that are sent to a process that no upstream has announced.
    void name_that_no_upstream_may_have_is_refused()
    {
        for (const std::string name :
             {"", "a b", "a\tb", "a&b", "a+b", "a#b", "a%41b", "a/b", "a?b", "a:b", "a@b", "a,b",
              "a;b", "a=b", "a\"b", "a\\b", "\xc3\xa9", "\xff"}) {
            const auto entry = decode_upstream_entry(name, sample());
            CPPUNIT_ASSERT_MESSAGE(name, !entry.ok());
            CPPUNIT_ASSERT_MESSAGE(name, entry.status().message().find("the name is") !=
                                             std::string::npos);
        }
        CPPUNIT_ASSERT(decode_upstream_entry(std::string(253, 'a'), sample()).ok());
        CPPUNIT_ASSERT(!decode_upstream_entry(std::string(254, 'a'), sample()).ok());
        CPPUNIT_ASSERT(decode_upstream_entry("i-7F3.a_~", sample()).ok());
    }

    // Anyone may write entries, so only complete ones with known values are used.
    void malformed_entry_is_refused()
    {
        for (const auto* field : {"upstream", "address", "zone", "slots", "state"}) {
            auto missing = sample();
            missing.erase(field);
            CPPUNIT_ASSERT(!decode_upstream_entry("i-1", missing).ok());
            auto mistyped = sample();
            mistyped[field] = json::array({1});
            CPPUNIT_ASSERT(!decode_upstream_entry("i-1", mistyped).ok());
        }
        auto unknown = sample();
        unknown["state"] = "asleep";
        CPPUNIT_ASSERT(!decode_upstream_entry("i-1", unknown).ok());
        auto address = sample();
        address["address"] = "somewhere";
        CPPUNIT_ASSERT(!decode_upstream_entry("i-1", address).ok());
        CPPUNIT_ASSERT(!decode_upstream_entry("i-1", json("text")).ok());
        CPPUNIT_ASSERT(!decode_upstream_entry("i-1", json()).ok());
    }

    // Guards against upstreams that are taken for one version because both state none.
    void unstated_software_equals_no_other()
    {
        auto missing = sample();
        missing.erase("version");
        auto mistyped = sample();
        mistyped["version"] = 3;
        auto empty = sample();
        empty["version"] = "";
        auto endless = sample();
        endless["version"] = std::string(100'000, 'v');
        for (const auto& content : {missing, mistyped, empty, endless}) {
            const auto first = decode_upstream_entry("i-1", content);
            const auto second = decode_upstream_entry("i-2", content);
            CPPUNIT_ASSERT(first.ok() && second.ok());
            CPPUNIT_ASSERT(first->software != second->software);
            CPPUNIT_ASSERT(first->software.size() < 100);
            auto restarted = content;
            restarted["born"] = 5U;
            CPPUNIT_ASSERT(decode_upstream_entry("i-1", restarted)->software != first->software);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_upstream_entry_codec_test);

} // namespace snipespar::platform
