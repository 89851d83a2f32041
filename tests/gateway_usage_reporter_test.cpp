#include "gateway/usage_reporter.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <string>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds(50)};
constexpr int teams = 19;

std::map<std::string, std::uint64_t> totals(std::uint64_t of_first)
{
    std::map<std::string, std::uint64_t> result{{"t0", of_first}};
    for (int i = 1; i < teams; ++i) {
        result["t" + std::to_string(i)] = 7;
    }
    return result;
}

/// What one gateway receives from the others in ten seconds of steady use of one team.
struct received {
    std::uint64_t reports = 0;
    std::uint64_t totals = 0;
};

received run(int gateways, usage_urgency urgency)
{
    usage_reporter reporter;
    received sum;
    for (auto passed = milliseconds(0); passed < seconds(10); passed += milliseconds(50)) {
        const auto now = start + passed;
        const auto use = static_cast<std::uint64_t>(passed.count());
        const auto report = reporter.next(totals(use), urgency, gateways, now);
        if (report) {
            sum.reports += static_cast<std::uint64_t>(gateways) - 1;
            sum.totals += report->team_tokens.size() * (static_cast<std::uint64_t>(gateways) - 1);
        }
    }
    return sum;
}

} // namespace

class gateway_usage_reporter_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_usage_reporter_test);
    CPPUNIT_TEST(small_fleet_reports_changes_four_times_a_second);
    CPPUNIT_TEST(gateways_stay_in_contact_while_a_limit_is_used_up);
    CPPUNIT_TEST(unchanged_totals_are_stated_a_few_times_and_then_seldom);
    CPPUNIT_TEST(reports_received_grow_slower_than_the_fleet);
    CPPUNIT_TEST_SUITE_END();

public:
    void small_fleet_reports_changes_four_times_a_second()
    {
        usage_reporter reporter;
        CPPUNIT_ASSERT(reporter.next(totals(1), usage_urgency::none, 5, start)->is_complete);
        CPPUNIT_ASSERT(
            !reporter.next(totals(2), usage_urgency::none, 5, start + milliseconds(249)));
        const auto changed =
            reporter.next(totals(2), usage_urgency::none, 5, start + milliseconds(250));
        CPPUNIT_ASSERT(changed && changed->next_within == milliseconds(250));
        // The report that was announced follows, and states that the next one takes longer.
        CPPUNIT_ASSERT(
            !reporter.next(totals(2), usage_urgency::none, 5, start + milliseconds(499)));
        const auto unchanged =
            reporter.next(totals(2), usage_urgency::none, 5, start + milliseconds(500));
        CPPUNIT_ASSERT(unchanged && unchanged->next_within == seconds(1));
        CPPUNIT_ASSERT(
            !reporter.next(totals(2), usage_urgency::none, 5, start + milliseconds(1499)));
        CPPUNIT_ASSERT(
            reporter.next(totals(2), usage_urgency::none, 5, start + milliseconds(1500)));
        reporter.expedite();
        CPPUNIT_ASSERT(
            reporter.next(totals(2), usage_urgency::none, 5, start + milliseconds(1501)));
    }

    // Guards against cuts that are noticed late because a team that is refused uses nothing more.
    void gateways_stay_in_contact_while_a_limit_is_used_up()
    {
        usage_reporter reporter;
        for (auto now = start; now < start + seconds(2); now += milliseconds(250)) {
            const auto report = reporter.next(totals(1), usage_urgency::busy, 5, now);
            CPPUNIT_ASSERT(report && report->next_within == milliseconds(250));
        }
    }

    // A lost report does no harm as long as a later one states the total again.
    void unchanged_totals_are_stated_a_few_times_and_then_seldom()
    {
        usage_reporter reporter;
        auto now = start;
        for (std::uint64_t round = 0; round < 24; ++round) {
            const auto report = reporter.next(totals(round), usage_urgency::none, 5, now);
            CPPUNIT_ASSERT(report.has_value());
            CPPUNIT_ASSERT_EQUAL(round % 8 == 0, report->is_complete);
            CPPUNIT_ASSERT(report->team_tokens.contains("t0"));
            const bool states_all = report->team_tokens.size() == teams;
            CPPUNIT_ASSERT_EQUAL(round % 8 == 0 || round < 3, states_all);
            now += milliseconds(250);
        }
    }

    // Reports in ten seconds. Four a second from each would be 268 and 2,196 a second at 68 and 550
    // gateways.
    void reports_received_grow_slower_than_the_fleet()
    {
        CPPUNIT_ASSERT(run(26, usage_urgency::none).reports <= 520);
        CPPUNIT_ASSERT(run(68, usage_urgency::none).reports <= 550);
        CPPUNIT_ASSERT(run(68, usage_urgency::busy).reports <= 1300);
        CPPUNIT_ASSERT(run(550, usage_urgency::busy).reports <= 4000);
        CPPUNIT_ASSERT(run(550, usage_urgency::none).totals <=
                       run(550, usage_urgency::none).reports * teams / 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_usage_reporter_test);

} // namespace snipespar::gateway
