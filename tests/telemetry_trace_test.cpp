#include "telemetry/otlp_json.h"
#include "telemetry/trace_context.h"
#include "telemetry/trace_source.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace snipespar::telemetry {

namespace {

const std::string good_header = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

} // namespace

class telemetry_trace_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(telemetry_trace_test);
    CPPUNIT_TEST(header_is_read_and_written_back);
    CPPUNIT_TEST(malformed_headers_are_refused);
    CPPUNIT_TEST(malformed_header_starts_a_new_trace);
    CPPUNIT_TEST(children_stay_in_the_trace);
    CPPUNIT_TEST(otlp_json_carries_every_part);
    CPPUNIT_TEST_SUITE_END();

public:
    void header_is_read_and_written_back()
    {
        const auto parsed = parse_traceparent(good_header);
        CPPUNIT_ASSERT(parsed.has_value());
        CPPUNIT_ASSERT_EQUAL(good_header, format_traceparent(*parsed));
        // A later version may append fields.
        CPPUNIT_ASSERT(parse_traceparent("01" + good_header.substr(2) + "-more").has_value());
    }

    void malformed_headers_are_refused()
    {
        const std::string zero_trace = "00-00000000000000000000000000000000-b7ad6b7169203331-01";
        const std::string zero_span = "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01";
        for (const std::string& bad : std::vector<std::string>{
                 "", "00", good_header.substr(1), good_header + "0", good_header + "-more",
                 "ff" + good_header.substr(2), "0G" + good_header.substr(2),
                 "01" + good_header.substr(2) + "x", zero_trace, zero_span,
                 "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
                 "00_0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}) {
            CPPUNIT_ASSERT_MESSAGE(bad, !parse_traceparent(bad).has_value());
        }
    }

    void malformed_header_starts_a_new_trace()
    {
        trace_source source(1);
        const auto first = source.start("rubbish");
        const auto second = source.start("");
        CPPUNIT_ASSERT(first.trace != trace_id{});
        CPPUNIT_ASSERT(first.trace != second.trace);
        CPPUNIT_ASSERT(trace_source(1).start("") == first);
    }

    void children_stay_in_the_trace()
    {
        trace_source source(1);
        const auto root = source.start(good_header);
        const auto child = source.child(root);
        CPPUNIT_ASSERT(root.trace == parse_traceparent(good_header)->trace);
        CPPUNIT_ASSERT(child.trace == root.trace);
        CPPUNIT_ASSERT(child.span != root.span);
    }

    void otlp_json_carries_every_part()
    {
        trace_source source(1);
        const auto parent = *parse_traceparent(good_header);
        span item;
        item.context = source.child(parent);
        item.parent = parent.span;
        item.name = "request";
        item.kind = span_kind::server;
        item.start = span::clock::time_point(std::chrono::seconds(1));
        item.end = span::clock::time_point(std::chrono::seconds(2));
        item.failed = true;
        item.attributes.emplace_back("path", "/caf\xff");
        const auto text = to_otlp_json({"entry", "h1", "z1"}, std::vector<span>{item});
        const auto document = nlohmann::json::parse(text);
        const auto& sent = document.at("resourceSpans").at(0).at("scopeSpans").at(0).at("spans");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
        CPPUNIT_ASSERT_EQUAL(to_hex(parent.trace), sent[0].at("traceId").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(to_hex(parent.span), sent[0].at("parentSpanId").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("1000000000"),
                             sent[0].at("startTimeUnixNano").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(2, sent[0].at("kind").get<int>());
        CPPUNIT_ASSERT_EQUAL(2, sent[0].at("status").at("code").get<int>());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(telemetry_trace_test);

} // namespace snipespar::telemetry
