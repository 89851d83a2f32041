#include "telemetry/logger.h"

#include "base/secret.h"
#include "snipespar/ids.h"
#include "telemetry/state_log.h"

#include <algorithm>
#include <chrono>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace snipespar::telemetry {

static_assert(!printable<secret>, "a secret must not be printable");
static_assert(printable<team_id>);
static_assert(printable<int>);

class telemetry_logger_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(telemetry_logger_test);
    CPPUNIT_TEST(line_has_time_level_event_and_fields);
    CPPUNIT_TEST(no_value_can_start_a_second_line_or_field);
    CPPUNIT_TEST(state_is_logged_only_when_it_changes);
    CPPUNIT_TEST_SUITE_END();

public:
    void line_has_time_level_event_and_fields()
    {
        const std::chrono::system_clock::time_point time(std::chrono::milliseconds(1500));
        const std::vector<log_field> fields{{"team", team_id("shop")}, {"count", 3}};
        CPPUNIT_ASSERT_EQUAL(
            std::string("ts=1970-01-01T00:00:01.500Z level=warning event=refused team=shop "
                        "count=3\n"),
            format_line(time, log_level::warning, "refused", fields));
    }

    void no_value_can_start_a_second_line_or_field()
    {
        const std::vector<log_field> fields{{"path", "/a\nts=0 level=error \"x\"\\\x7f"},
                                            {"empty", ""}};
        const auto line = format_line({}, log_level::info, "event", fields);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, std::count(line.begin(), line.end(), '\n'));
        CPPUNIT_ASSERT(line.ends_with(R"(path="/a\x0ats=0 level=error \"x\"\\\x7f" empty="")"
                                      "\n"));
    }

    void state_is_logged_only_when_it_changes()
    {
        std::vector<std::string> lines;
        const logger log([&](std::string_view line) { lines.emplace_back(line); });
        state_log states(log);
        CPPUNIT_ASSERT(states.update("link", "e1", "up"));
        CPPUNIT_ASSERT(!states.update("link", "e1", "up"));
        CPPUNIT_ASSERT(states.update("link", "e2", "up"));
        CPPUNIT_ASSERT(states.update("link", "e1", "down", {{"reason", "timeout"}}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, lines.size());
        CPPUNIT_ASSERT(
            lines.back().ends_with("event=link subject=e1 state=down was=up reason=timeout\n"));
        states.forget("link", "e1");
        CPPUNIT_ASSERT(states.update("link", "e1", "down"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(telemetry_logger_test);

} // namespace snipespar::telemetry
