#include "platform/engine_codec.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>

namespace snipespar::platform {

class platform_engine_codec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_engine_codec_test);
    CPPUNIT_TEST(report_is_decoded);
    CPPUNIT_TEST(faulty_report_is_refused);
    CPPUNIT_TEST(count_that_no_message_can_carry_is_refused);
    CPPUNIT_TEST(memory_beyond_any_is_taken_as_the_nearest);
    CPPUNIT_TEST(order_carries_count_and_holder);
    CPPUNIT_TEST_SUITE_END();

public:
    void report_is_decoded()
    {
        const auto report = decode_engine_report(
            R"({"stage":"both","models":[{"name":"base","version":1,"adapters":["a3@2","a4@1"]}],
                "busy":false,"seq":2,"waiting":1,"running":12,"kv_used":41000,"kv_total":90000,
                "handles":0,"born":1796335486457,"coming":["base/a9@1"]})");
        CPPUNIT_ASSERT_MESSAGE(std::string(report.status().message()), report.ok());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, report->orders_accepted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, report->adapters.at("base/a3"));
        CPPUNIT_ASSERT_EQUAL(std::string("base/a9"), report->loading.front());
        CPPUNIT_ASSERT_EQUAL(12, report->running);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1796335486457}, report->process_start_ms);
    }

    void faulty_report_is_refused()
    {
        CPPUNIT_ASSERT(!decode_engine_report("").ok());
        CPPUNIT_ASSERT(!decode_engine_report("[]").ok());
        CPPUNIT_ASSERT(!decode_engine_report(R"({"models":[],"busy":1,"seq":2})").ok());
    }

    // Guards against counts that wrap to negative ones, and against status messages that gateways
    // reject because of a count.
    void count_that_no_message_can_carry_is_refused()
    {
        const nlohmann::json report{{"models", nlohmann::json::array()},
                                    {"busy", false},
                                    {"seq", 2U},
                                    {"running", 65'535U},
                                    {"waiting", 65'535U},
                                    {"kv_used", 0}};
        const auto largest = decode_engine_report(report.dump());
        CPPUNIT_ASSERT(largest.ok());
        CPPUNIT_ASSERT_EQUAL(65'535, largest->running);
        CPPUNIT_ASSERT_EQUAL(65'535, largest->waiting);
        for (const auto* field : {"running", "waiting"}) {
            for (const std::uint32_t count : {65'536U, 2'147'483'648U, 4'294'967'295U}) {
                auto changed = report;
                changed[field] = count;
                const auto decoded = decode_engine_report(changed.dump());
                CPPUNIT_ASSERT(!decoded.ok());
                CPPUNIT_ASSERT(std::string(decoded.status().message())
                                   .starts_with(std::string("report.") + field));
            }
        }
    }

    // Guards against the conversion of a number that the integer type cannot hold, which is
    // undefined. Fails before the fix only under the undefined behaviour sanitizer.
    void memory_beyond_any_is_taken_as_the_nearest()
    {
        const auto memory_used = [](const std::string& number) {
            const auto report = decode_engine_report(
                R"({"models":[],"busy":false,"seq":2,"waiting":1,"running":1,"kv_used":)" + number +
                "}");
            CPPUNIT_ASSERT(report.ok());
            return report->memory_used;
        };
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{41}, memory_used("41.9"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, memory_used("-5"));
        const auto largest = std::numeric_limits<std::uint64_t>::max();
        CPPUNIT_ASSERT_EQUAL(largest, memory_used("1e300"));
        CPPUNIT_ASSERT_EQUAL(largest, memory_used("18446744073709551616"));
        CPPUNIT_ASSERT_EQUAL(largest - 2047, memory_used("18446744073709549568.0"));
    }

    void order_carries_count_and_holder()
    {
        using sidecar::engine_order;
        const auto load = nlohmann::json::parse(
            encode_order({engine_order::operation::load, "base", "a3", 4, 17}, "side-1"));
        CPPUNIT_ASSERT(load == nlohmann::json::parse(
                                   R"({"operation":"load","model":"base","adapter":"a3",
                                       "version":4,"expect":17,"holder":"side-1","fence":1})"));
        const auto unload = nlohmann::json::parse(
            encode_order({engine_order::operation::unload, "base", "", std::nullopt, 0}, "side-1"));
        CPPUNIT_ASSERT(unload["operation"] == "unload" && !unload.contains("adapter") &&
                       !unload.contains("version"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_engine_codec_test);

} // namespace snipespar::platform
