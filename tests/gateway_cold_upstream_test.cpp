#include "gateway/service_rule.h"
#include "gateway/upstream_selector.h"
#include "gateway/upstream_table.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds(50)};
// Any moment at which nothing that began at the start is cold any more.
constexpr time_point later = start + seconds(20);

const service_rule cold_service{"llm", 440, engine_rule{48, 100'000, 14, {"base"}}, seconds(3), 35};
const service_rule other_service{"llm", 440, engine_rule{48, 100'000, 14, {"base"}}};

upstream_entry entry(int number, const std::string& domain)
{
    upstream_entry item{upstream_id("i-" + std::to_string(number)),
                        "llm",
                        {"10.0.0." + std::to_string(number), 80},
                        failure_domain_id(domain),
                        48,
                        false};
    item.process_start_ms = 5;
    return item;
}

engine_status status(int number, std::uint64_t process_start_ms, std::uint64_t sequence)
{
    engine_status item;
    item.engine = "10.0.0." + std::to_string(number) + ":80";
    item.sidecar_start = 1;
    item.sequence = sequence;
    item.process_start_ms = process_start_ms;
    item.models = {"base"};
    item.adapters = {{"base/a1", 1}};
    return item;
}

// Two failure domains with one engine each.
upstream_table two_engines()
{
    upstream_table table;
    for (const int number : {1, 2}) {
        table.update(entry(number, number == 1 ? "a" : "b"), start);
        table.on_engine_status(status(number, 5, 1), start);
    }
    return table;
}

bool is_cold(const upstream_table& table, int number, time_point now,
             const service_rule& service = cold_service)
{
    return upstream_table::is_cold(*table.find(upstream_id("i-" + std::to_string(number))), service,
                                   now);
}

placement choose(const upstream_table& table, time_point now, bool may_ask = true)
{
    upstream_selector selector(failure_domain_id("a"), 1);
    placement_query query{"llm", "base/a1", "base", 0, {}};
    query.may_ask_for_permit = may_ask;
    return selector.choose(query, cold_service, table, 1, now).destination;
}

bool goes_to(const placement& chosen, int number)
{
    return chosen == placement(send_to{upstream_id("i-" + std::to_string(number))});
}

} // namespace

/// Which upstreams a gateway takes for cold, and which are evacuated.
class gateway_cold_upstream_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_cold_upstream_test);
    CPPUNIT_TEST(unknown_upstream_is_cold_for_a_while);
    CPPUNIT_TEST(entry_tells_of_a_cold_upstream);
    CPPUNIT_TEST(sidecar_tells_of_a_new_process_before_its_entry);
    CPPUNIT_TEST(gateway_that_stood_still_takes_all_for_cold);
    CPPUNIT_TEST(refusal_of_a_permit_sends_calls_elsewhere);
    CPPUNIT_TEST(evacuated_domain_gets_nothing);
    CPPUNIT_TEST(domain_taken_back_is_cold);
    CPPUNIT_TEST(evacuated_version_is_not_gone);
    CPPUNIT_TEST_SUITE_END();

public:
    void unknown_upstream_is_cold_for_a_while()
    {
        const auto table = two_engines();
        CPPUNIT_ASSERT(is_cold(table, 1, start + milliseconds(2900)));
        CPPUNIT_ASSERT(!is_cold(table, 1, start + milliseconds(3100)));
        CPPUNIT_ASSERT(!is_cold(table, 1, start, other_service));
    }

    // An upstream may become cold at any moment; the statement's age is not known.
    void entry_tells_of_a_cold_upstream()
    {
        auto table = two_engines();
        auto cold = entry(1, "a");
        cold.cold_time = milliseconds(2000);
        table.update(cold, later);
        CPPUNIT_ASSERT(is_cold(table, 1, later + milliseconds(1900)));
        CPPUNIT_ASSERT(!is_cold(table, 2, later));
        // The same statement, listed again, does not begin anew.
        table.replace({cold, entry(2, "b")}, later + milliseconds(1500));
        CPPUNIT_ASSERT(!is_cold(table, 1, later + milliseconds(2100)));
    }

    // Guards against gateways that treat an engine as warm until its next entry.
    void sidecar_tells_of_a_new_process_before_its_entry()
    {
        auto table = two_engines();
        table.on_engine_status(status(1, 6, 2), later);
        CPPUNIT_ASSERT(is_cold(table, 1, later + milliseconds(2900)));
        auto restarted = entry(1, "a");
        restarted.process_start_ms = 6;
        table.update(restarted, later + seconds(1));
        CPPUNIT_ASSERT(!is_cold(table, 1, later + milliseconds(3100)));
    }

    void gateway_that_stood_still_takes_all_for_cold()
    {
        auto table = two_engines();
        table.on_standstill(later);
        CPPUNIT_ASSERT(is_cold(table, 1, later) && is_cold(table, 2, later));
    }

    // Guards against calls that queue behind a cold engine while a warm one has room.
    void refusal_of_a_permit_sends_calls_elsewhere()
    {
        auto table = two_engines();
        table.on_permit_refused(upstream_id("i-1"), milliseconds(80), later);
        CPPUNIT_ASSERT(goes_to(choose(table, later), 2));
        table.on_engine_status(status(1, 6, 2), later);
        CPPUNIT_ASSERT(goes_to(choose(table, later + milliseconds(100), false), 2));
    }

    // Guards against requests that reach an evacuated failure domain: 6,793 on one day.
    void evacuated_domain_gets_nothing()
    {
        auto table = two_engines();
        table.set_evacuated({failure_domain_id("a")}, later);
        for (int i = 0; i < 20; ++i) {
            CPPUNIT_ASSERT(goes_to(choose(table, later), 2));
        }
        table.update(entry(3, "a"), later);
        CPPUNIT_ASSERT(!upstream_table::is_open(*table.find(upstream_id("i-3")), later));
        table.set_evacuated({failure_domain_id("a"), failure_domain_id("b")}, later);
        CPPUNIT_ASSERT(std::holds_alternative<no_upstream>(choose(table, later)));
    }

    void domain_taken_back_is_cold()
    {
        auto table = two_engines();
        table.set_evacuated({failure_domain_id("a")}, later);
        table.set_evacuated({}, later + seconds(8));
        CPPUNIT_ASSERT(is_cold(table, 1, later + seconds(10)));
        CPPUNIT_ASSERT(!is_cold(table, 2, later + seconds(10)));
        CPPUNIT_ASSERT(upstream_table::is_open(*table.find(upstream_id("i-1")), later));
    }

    // A stream of that version may still be taken up later.
    void evacuated_version_is_not_gone()
    {
        auto table = two_engines();
        auto first = entry(1, "a");
        first.software = "v2";
        table.update(first, start);
        table.on_engine_status(status(1, 5, 2), start);
        table.set_evacuated({failure_domain_id("a")}, later);
        placement_query query{"llm", "base/a1", "base", 0, {}};
        query.software = "v2";
        upstream_selector selector(failure_domain_id("a"), 1);
        const auto none = std::get<no_upstream>(
            selector.choose(query, cold_service, table, 1, later).destination);
        CPPUNIT_ASSERT(!none.is_version_gone);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_cold_upstream_test);

} // namespace snipespar::gateway
