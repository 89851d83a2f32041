#include "config/freshness.h"

#include <chrono>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace snipespar::config {

using namespace std::chrono_literals;

class config_freshness_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(config_freshness_test);
    CPPUNIT_TEST(isolated_process_stops);
    CPPUNIT_TEST(minority_stops_and_majority_goes_on);
    CPPUNIT_TEST(majority_in_one_failure_domain_is_not_enough);
    CPPUNIT_TEST(outage_does_not_cover_a_version_known_to_be_outdated);
    CPPUNIT_TEST(delayed_report_is_older_not_younger);
    CPPUNIT_TEST(observations_are_not_renewed_by_relaying);
    CPPUNIT_TEST(process_without_a_version_admits_nothing);
    CPPUNIT_TEST(response_with_an_older_version_confirms_nothing);
    CPPUNIT_TEST_SUITE_END();

    static constexpr time_point start{1h};

    static host_id host(int index) { return host_id("h" + std::to_string(index)); }

    static freshness make(int members, int domains)
    {
        freshness made(10s);
        std::vector<member> list;
        list.reserve(static_cast<std::size_t>(members));
        for (int i = 0; i < members; ++i) {
            list.push_back({host(i), failure_domain_id("d" + std::to_string(i % domains))});
        }
        made.set_members(list);
        made.set_active_version(5);
        made.on_platform_response(5, start);
        return made;
    }

    static freshness_report platform_failure_report(std::uint64_t version = 5)
    {
        return {version, version, {}, 0s, {}};
    }

public:
    void isolated_process_stops()
    {
        auto one = make(3, 3);
        one.on_platform_failure(host(0), start + 3s);
        CPPUNIT_ASSERT(one.may_admit(start + 9s));
        one.on_platform_failure(host(0), start + 9s);
        CPPUNIT_ASSERT(!one.may_admit(start + 10s));
        auto only = make(1, 1);
        only.on_platform_failure(host(0), start + 9s);
        CPPUNIT_ASSERT(!only.may_admit(start + 10s));
    }

    void minority_stops_and_majority_goes_on()
    {
        auto one = make(5, 5);
        one.on_platform_failure(host(0), start + 9s);
        one.on_report(host(1), platform_failure_report(), start + 9s);
        CPPUNIT_ASSERT(!one.may_admit(start + 11s));
        one.on_report(host(2), platform_failure_report(), start + 9s);
        CPPUNIT_ASSERT(one.may_admit(start + 11s));
        CPPUNIT_ASSERT(!one.may_admit(start + 19s));
    }

    void majority_in_one_failure_domain_is_not_enough()
    {
        auto one = make(9, 3);
        for (const int index : {0, 3, 6}) {
            one.on_report(host(index), platform_failure_report(), start + 9s);
        }
        CPPUNIT_ASSERT(!one.may_admit(start + 11s));
        one.on_report(host(1), platform_failure_report(), start + 9s);
        one.on_report(host(4), platform_failure_report(), start + 9s);
        CPPUNIT_ASSERT(one.may_admit(start + 11s));
    }

    void outage_does_not_cover_a_version_known_to_be_outdated()
    {
        auto one = make(3, 3);
        one.on_platform_failure(host(0), start + 9s);
        one.on_report(host(1), platform_failure_report(), start + 9s);
        CPPUNIT_ASSERT(one.may_admit(start + 11s));
        one.on_report(host(2), platform_failure_report(6), start + 9s);
        CPPUNIT_ASSERT(!one.may_admit(start + 11s));
    }

    void delayed_report_is_older_not_younger()
    {
        auto one = make(3, 3);
        const freshness_report confirmed{5, 5, 1s, {}, {}};
        one.on_report(host(1), confirmed, start + 2s);
        CPPUNIT_ASSERT(one.admits_until() == start + 11s);
    }

    void observations_are_not_renewed_by_relaying()
    {
        auto left = make(5, 5);
        auto right = make(5, 5);
        for (auto now = start; now < start + 60s; now += 1s) {
            left.on_platform_failure(host(0), now);
            right.on_platform_failure(host(1), now);
            right.on_report(host(0), left.report(now), now);
            left.on_report(host(1), right.report(now), now);
        }
        CPPUNIT_ASSERT(left.admits_until() <= start + 10s);
        CPPUNIT_ASSERT(right.admits_until() <= start + 10s);
    }

    void process_without_a_version_admits_nothing()
    {
        freshness fresh(10s);
        fresh.on_platform_response(0, start);
        CPPUNIT_ASSERT(!fresh.may_admit(start));
        fresh.on_report(host(1), {5, 5, 0s, {}, {}}, start);
        CPPUNIT_ASSERT(!fresh.may_admit(start));
        fresh.set_active_version(5);
        CPPUNIT_ASSERT(fresh.may_admit(start));
    }

    void response_with_an_older_version_confirms_nothing()
    {
        auto one = make(3, 3);
        one.on_platform_response(4, start + 9s);
        CPPUNIT_ASSERT(one.admits_until() == start + 10s);
        one.on_platform_response(6, start + 9s);
        CPPUNIT_ASSERT(one.admits_until() == start + 10s);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_freshness_test);

} // namespace snipespar::config
