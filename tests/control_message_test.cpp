#include "control/message.h"

#include "base/cbor.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <string>

namespace snipespar::control {

class control_message_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(control_message_test);
    CPPUNIT_TEST(every_message_round_trips);
    CPPUNIT_TEST(malformed_messages_are_rejected);
    CPPUNIT_TEST(texts_that_are_not_utf8_make_a_message_malformed);
    CPPUNIT_TEST(counts_and_depths_are_bounded);
    CPPUNIT_TEST(report_of_a_full_engine_fits_one_packet);
    CPPUNIT_TEST_SUITE_END();

public:
    void every_message_round_trips()
    {
        const adapter_demand demand{
            "g",
            7,
            "i-1",
            5,
            16,
            {"base"},
            {{"base", "a1", 2, 3}, {"base", "a2", 1, 0, 4, std::chrono::milliseconds(350)}},
            {{"base/a1", 4}}};
        const gateway_usage usage{"g",
                                  7,
                                  9,
                                  3,
                                  true,
                                  {{"shops", 1234}},
                                  {{"i-1", 5}},
                                  false,
                                  std::chrono::milliseconds(1360)};
        sidecar_report report;
        report.status.engine = "10.0.0.1:80";
        report.status.sidecar_start = 4;
        report.status.sequence = 5;
        report.status.models = {"base"};
        report.status.adapters = {{"base/a1", 2}};
        report.status.loading = {"base/a2"};
        report.status.running = 11;
        report.status.waiting = 2;
        report.status.memory_used = 41'000;
        report.status.is_full = true;
        report.status.is_short_of_slots = true;
        report.status.workload = {12'000, 44.25};
        report.gateways = {"10.0.0.9:7600"};
        const sidecar_heartbeat heartbeat{"10.0.0.1:80", 4, 6, 5, 11, 2, {700, 0}};
        const sidecar_heartbeat unknown_work{"10.0.0.1:80", 4, 6, 5, 11, 2, {}};
        const crash_findings findings{
            {{77, {{{upstream_id("i-1"), 5}, false, true, std::chrono::seconds(3)}}}}};
        report.status.is_paced = true;
        report.status.counts_calls = true;
        const admission_request request{"g",
                                        7,
                                        admission_request::purpose::cancel,
                                        1460,
                                        3,
                                        std::chrono::milliseconds(500),
                                        std::chrono::milliseconds(900)};
        const admission_answer answer{7, admission_answer::verdict::queued,
                                      std::chrono::milliseconds(40)};
        const stream_pause pause{std::chrono::milliseconds(365), std::chrono::milliseconds(300)};
        const permit_request permit{9,    upstream_id("i-1"),           5, 4.8,
                                    true, std::chrono::milliseconds(30)};
        const permit_answer permitted{9, true, true, std::chrono::milliseconds(210)};
        report.status.process_start_ms = 1780444289142;
        const resume::stream_origin origin{"llm", "v1.2"};
        const origin_record record{{1, 2}, origin};
        const origin_question question{9, {1, 2}};
        const origin_answer known{9, {1, 2}, origin};
        const origin_answer unknown{9, {1, 2}, std::nullopt};
        for (const auto& content :
             {message(record), message(question), message(known), message(unknown), message(permit),
              message(permitted), message(demand), message(usage), message(report),
              message(heartbeat), message(unknown_work), message(findings), message(request),
              message(answer), message(pause)}) {
            const auto decoded = decode(encode(content));
            CPPUNIT_ASSERT(decoded.ok());
            CPPUNIT_ASSERT(*decoded == content);
        }
    }

    void malformed_messages_are_rejected()
    {
        CPPUNIT_ASSERT(!decode("").ok());
        CPPUNIT_ASSERT(!decode("hello").ok());
        const auto usage = encode(gateway_usage{"g", 1, 1, 1, false, {}, {}});
        CPPUNIT_ASSERT(!decode(usage.substr(0, usage.size() / 2)).ok());
        const auto record = encode(origin_record{{1, 2}, {"llm", "v1"}});
        CPPUNIT_ASSERT(!decode(record.substr(0, record.size() - 1)).ok());
        CPPUNIT_ASSERT(!decode(to_cbor({{"protocol", 1}, {"type", "began"}, {"high", 1}})).ok());
        CPPUNIT_ASSERT(!decode(to_cbor({{"protocol", 2}, {"type", "usage"}})).ok());
        CPPUNIT_ASSERT(!decode(to_cbor({{"protocol", 1}, {"type", "other"}})).ok());
        CPPUNIT_ASSERT(!decode(to_cbor({{"protocol", 1}, {"type", "usage"}})).ok());
    }

    // Guards against names that end the process which logs them or sends them on as JSON.
    void texts_that_are_not_utf8_make_a_message_malformed()
    {
        const std::string name = "a\xe9";
        const adapter_demand plain{"g", 7, "i-1", 5, 16, {"base"}, {{"base", "a1", 2, 3}}, {}};
        CPPUNIT_ASSERT(decode(encode(plain)).ok());
        auto demand = plain;
        demand.gateway = name;
        CPPUNIT_ASSERT(!decode(encode(demand)).ok());
        demand = plain;
        demand.models = {"base", name};
        CPPUNIT_ASSERT(!decode(encode(demand)).ok());
        demand = plain;
        demand.uses[0].adapter = name;
        CPPUNIT_ASSERT(!decode(encode(demand)).ok());
        demand = plain;
        demand.versions[name] = 1;
        CPPUNIT_ASSERT(!decode(encode(demand)).ok());
        CPPUNIT_ASSERT(!decode(encode(gateway_usage{"g", 1, 1, 1, false, {{name, 1}}, {}})).ok());
        CPPUNIT_ASSERT(!decode(encode(origin_record{{1, 2}, {"llm", name}})).ok());
        const crash_findings findings{
            {{77, {{{upstream_id(name), 5}, false, true, std::chrono::seconds(3)}}}}};
        CPPUNIT_ASSERT(!decode(encode(findings)).ok());
        // A field that no build knows is also written to logs of malformed messages.
        CPPUNIT_ASSERT(!decode(to_cbor({{"protocol", 1},
                                        {"type", "pause"},
                                        {"gap_ms", 1},
                                        {"target_ms", 1},
                                        {name, 1}}))
                            .ok());
    }

    // Guards against counts that wrap to negative ones, and values that nest without a bound.
    void counts_and_depths_are_bounded()
    {
        const auto demand = [](const nlohmann::json& uses) {
            return to_cbor({{"protocol", 1},
                            {"type", "demand"},
                            {"gateway", "g"},
                            {"start", 1},
                            {"upstream", "i-1"},
                            {"born", 1},
                            {"slots", 16},
                            {"models", {"base"}},
                            {"uses", {{"base/a1", uses}}},
                            {"versions", nlohmann::json::object()}});
        };
        CPPUNIT_ASSERT(decode(demand({65535, 65535})).ok());
        for (const std::uint64_t large : {65536ULL, 1ULL << 31U, (1ULL << 32U) + 1, ~0ULL}) {
            CPPUNIT_ASSERT(!decode(demand({large, 1})).ok());
            CPPUNIT_ASSERT(!decode(demand({1, large})).ok());
        }
        nlohmann::json nested = 1;
        for (int i = 0; i < 40; ++i) {
            nested = nlohmann::json::array({std::move(nested)});
        }
        CPPUNIT_ASSERT(!decode(to_cbor({{"protocol", 1},
                                        {"type", "pause"},
                                        {"gap_ms", 1},
                                        {"target_ms", 1},
                                        {"more", nested}}))
                            .ok());
        // Larger counts than a message can state are sent as the largest.
        const adapter_demand busy{"g", 7, "i-1", 5, 16, {"base"}, {{"base", "a1", 70'000, -1}}, {}};
        const auto decoded = decode(encode(busy));
        CPPUNIT_ASSERT(decoded.ok());
        const auto& use = std::get<adapter_demand>(*decoded).uses.front();
        CPPUNIT_ASSERT_EQUAL(65535, use.waiting);
        CPPUNIT_ASSERT_EQUAL(0, use.running);
    }

    // A report larger than a packet would be fragmented, and lost with any of its fragments.
    void report_of_a_full_engine_fits_one_packet()
    {
        sidecar_report report;
        report.status.engine = "10.128.0.100:65535";
        report.status.models = {"model123456"};
        for (int i = 0; i < 16; ++i) {
            report.status.adapters["model123456/a" + std::to_string(9000 + i)] = 100;
        }
        for (int i = 0; i < 8; ++i) {
            report.gateways.push_back("10.128.0.100:65535");
        }
        constexpr std::size_t packet_payload = 1452;
        CPPUNIT_ASSERT(encode(report).size() <= packet_payload);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_message_test);

} // namespace snipespar::control
