#include "process/support/gateway_fleet.h"
#include "process/support/wait_until.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstddef>

namespace snipespar::testing {

namespace {

constexpr std::size_t many_routes = 4'000;
// Carries the configuration with these routes in four to five seconds.
constexpr std::size_t slow_link_bytes_per_s = 200'000;
// Several transfers.
constexpr std::chrono::seconds follow_limit{20};

} // namespace

/// Configurations whose transfer takes seconds.
class gateway_config_follow_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_config_follow_test);
    CPPUNIT_TEST(transfer_goes_on_while_peers_name_its_version);
    CPPUNIT_TEST(first_configuration_arrives_over_a_slow_link);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against gateways that begin the read of a version anew each time a peer names it, and
    // never end it.
    void transfer_goes_on_while_peers_name_its_version()
    {
        gateway_fleet fleet(
            {.engines = 1, .has_store_relay = true, .relays_first_gateway_only = true});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        fleet.store_relay->set_rate_from_target(slow_link_bytes_per_s);
        CPPUNIT_ASSERT(fleet.add_routes(many_routes));
        for (const auto& gateway : fleet.gateways) {
            CPPUNIT_ASSERT(wait_until(
                [&] { return fleet.config_version_of(gateway) == fleet.config_version(); },
                follow_limit));
        }
    }

    // Guards against a limit on the duration of a transfer that goes on.
    void first_configuration_arrives_over_a_slow_link()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 1, .has_store_relay = true});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        CPPUNIT_ASSERT(fleet.add_routes(many_routes));
        fleet.store_relay->set_rate_from_target(slow_link_bytes_per_s);
        fleet.gateways.front().restart();
        CPPUNIT_ASSERT(wait_until(
            [&] { return fleet.config_version_of(fleet.gateways[0]) == fleet.config_version(); },
            follow_limit));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_config_follow_test);

} // namespace snipespar::testing
