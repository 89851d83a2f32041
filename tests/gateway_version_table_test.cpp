#include "gateway/version_table.h"

#include "control/adapter_demand.h"
#include "control/message.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <string>

namespace snipespar::gateway {

namespace {

using std::chrono::seconds;

constexpr time_point start{seconds(50)};
// Adapters of the users in two years.
constexpr int all_adapters = 82'000;
constexpr std::size_t max_datagram_bytes = 65'507;

std::string name_of(int adapter)
{
    return "base-model/customer-adapter-" + std::to_string(adapter);
}

version_table table_of(int adapters)
{
    version_table table;
    for (int i = 0; i < adapters; ++i) {
        CPPUNIT_ASSERT(table.announce(name_of(i), 3, start));
    }
    return table;
}

} // namespace

class gateway_version_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_version_table_test);
    CPPUNIT_TEST(demand_of_a_gateway_that_has_just_started_fits_into_a_datagram);
    CPPUNIT_TEST(several_demands_state_all_recent_versions);
    CPPUNIT_TEST(older_versions_are_not_stated);
    CPPUNIT_TEST(earlier_version_is_ignored);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against demands that are never received, so that no adapter is loaded, while a gateway
    // learns of many versions.
    void demand_of_a_gateway_that_has_just_started_fits_into_a_datagram()
    {
        auto table = table_of(all_adapters);
        control::adapter_demand demand;
        table.add_recent(demand.versions, 7, start);
        CPPUNIT_ASSERT(!demand.versions.empty());
        CPPUNIT_ASSERT(control::encode(demand).size() < max_datagram_bytes);
    }

    void several_demands_state_all_recent_versions()
    {
        constexpr int adapters = 1000;
        constexpr int demands = 200;
        auto table = table_of(adapters);
        std::mt19937_64 random(1);
        std::map<std::string, std::uint64_t> stated;
        for (int i = 0; i < demands; ++i) {
            table.add_recent(stated, random(), start);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{adapters}, stated.size());
    }

    void older_versions_are_not_stated()
    {
        auto table = table_of(2);
        CPPUNIT_ASSERT(table.announce(name_of(1), 4, start + seconds(8)));
        std::map<std::string, std::uint64_t> stated;
        table.add_recent(stated, 0, start + seconds(12));
        CPPUNIT_ASSERT(stated == (std::map<std::string, std::uint64_t>{{name_of(1), 4}}));
    }

    void earlier_version_is_ignored()
    {
        auto table = table_of(1);
        CPPUNIT_ASSERT(!table.announce(name_of(0), 2, start + seconds(1)));
        CPPUNIT_ASSERT(table.announce(name_of(0), 5, start + seconds(1)));
        const auto* known = table.find(name_of(0));
        CPPUNIT_ASSERT(known != nullptr);
        CPPUNIT_ASSERT(*known == (announced_version{5, 3, start + seconds(1)}));
        CPPUNIT_ASSERT(table.find("unknown/adapter") == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_version_table_test);

} // namespace snipespar::gateway
