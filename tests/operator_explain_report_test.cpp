#include "operator/explain_report.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <string>

namespace snipespar::operators {

using nlohmann::json;

namespace {

json answer_with(const std::string& upstream)
{
    auto answer = json::parse(R"({
        "gateway": "front", "config": 3, "gateways": 1, "notes": ["a note"],
        "route": {"id": "r", "kind": "safe", "priority": 2, "aim_ms": 50.0},
        "services": [
            {"service": "desk", "share": 0.75, "weighed_by": "share", "replicas": [], "omitted": 2,
             "decision": {"action": "send", "depends_on_draw": true},
             "standings": {"closed": 2, "ready": 1},
             "upstreams": [
                {"failure_domain": "a", "standing": "ready", "residency": "none", "load": 1.25,
                 "finish_ms": 12.5, "weight": 1.0, "drawn": true, "home": false, "distant": false,
                 "cold": false, "paced": false}]},
            {"service": "gone", "share": 0.25,
             "decision": {"action": "refuse", "cause": "unknown_service"}}]})");
    auto& service = answer["services"][0];
    service["decision"]["upstream"] = upstream;
    service["upstreams"][0]["upstream"] = upstream;
    return answer;
}

} // namespace

class operator_explain_report_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(operator_explain_report_test);
    CPPUNIT_TEST(table_shows_each_service);
    CPPUNIT_TEST(control_characters_are_not_printed);
    CPPUNIT_TEST(answer_of_another_form_has_no_table);
    CPPUNIT_TEST_SUITE_END();

public:
    void table_shows_each_service()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("gateway front config 3 gateways 1\n"
                        "route r kind safe priority 2 aim 50 ms\n"
                        "note: a note\n"
                        "service desk (share 0.75): send to i-1 (drawn from several)\n"
                        "  upstream  domain  standing  adapter  load  tokens  tok/ms  start_ms  "
                        "finish_ms  share  until_ms  notes\n"
                        "  i-1       a       ready     none     1.2   -       -       -         "
                        "12.5       1.000  -         chosen,drawn\n"
                        "  2 more; of all: closed 2 ready 1\n"
                        "service gone (share 0.25): refuse unknown_service\n"),
            make_table(answer_with("i-1")).value());
    }

    // Guards against upstreams whose name steers the operator's terminal.
    void control_characters_are_not_printed()
    {
        const auto table = make_table(answer_with("i\x1b[2J\n\x7f")).value();
        CPPUNIT_ASSERT(table.find("i?[2J??") != std::string::npos);
        CPPUNIT_ASSERT(table.find('\x1b') == std::string::npos);
        const json refusal{{"findings", {{{"place", "path"}, {"message", "no\nroute"}}}}};
        CPPUNIT_ASSERT_EQUAL(std::string("g: path: no?route\n"), describe_refusal("g", refusal));
    }

    void answer_of_another_form_has_no_table()
    {
        CPPUNIT_ASSERT(!make_table(json::object()));
        auto answer = answer_with("i-1");
        answer["services"][0]["upstreams"][0]["load"] = "much";
        CPPUNIT_ASSERT(!make_table(answer));
        CPPUNIT_ASSERT_EQUAL(std::string("g: the question was refused\n"),
                             describe_refusal("g", json{{"findings", json::array()}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(operator_explain_report_test);

} // namespace snipespar::operators
