#include "process/support/gateway_fleet.h"
#include "process/support/wait_until.h"

#include <chrono>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <string>

namespace snipespar::testing {

namespace {

constexpr std::chrono::seconds follow_limit{5};

bool evacuate(const gateway_fleet& fleet, const std::string& domain)
{
    const nlohmann::json object{{"metadata", {{"name", domain}}},
                                {"spec", nlohmann::json::object()}};
    const auto reply =
        send_call(fleet.store.address, {"POST", "/objects/evacuations", {}, object.dump()});
    return reply.ok() && reply->status == 200;
}

bool take_back(const gateway_fleet& fleet, const std::string& domain)
{
    const auto reply =
        send_call(fleet.store.address, {"DELETE", "/objects/evacuations/" + domain, {}, {}});
    return reply.ok() && reply->status == 200;
}

unsigned status_of(const gateway_fleet& fleet, int number)
{
    const auto reply = send_call(fleet.gateways.front().address,
                                 fleet.make_call("/safe/x", fmt::format("e{}", number)));
    return reply.ok() ? reply->status : 0;
}

} // namespace

/// The operator evacuates a failure domain in the platform's store and takes it back.
class gateway_evacuation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_evacuation_test);
    CPPUNIT_TEST(evacuated_domain_gets_no_calls_until_it_is_taken_back);
    CPPUNIT_TEST(evacuation_outlasts_the_store);
    CPPUNIT_TEST(nothing_is_evacuated_without_a_bound);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against gateways that do not know of evacuations.
    void evacuated_domain_gets_no_calls_until_it_is_taken_back()
    {
        gateway_fleet fleet(options("5000ms"));
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        CPPUNIT_ASSERT(wait_until([&] { return status_of(fleet, ++calls_) == 200; }, follow_limit));
        CPPUNIT_ASSERT(evacuate(fleet, "b") && evacuate(fleet, "a"));
        CPPUNIT_ASSERT(wait_until([&] { return status_of(fleet, ++calls_) == 503; }, follow_limit));
        const auto before = fleet.runs(fleet.services.front())["runs"].size();
        for (int i = 0; i < 20; ++i) {
            CPPUNIT_ASSERT_EQUAL(503U, status_of(fleet, ++calls_));
        }
        CPPUNIT_ASSERT_EQUAL(before, fleet.runs(fleet.services.front())["runs"].size());
        CPPUNIT_ASSERT(take_back(fleet, "a"));
        CPPUNIT_ASSERT(wait_until([&] { return status_of(fleet, ++calls_) == 200; }, follow_limit));
    }

    // Guards against gateways that forget an evacuation while the store is down.
    void evacuation_outlasts_the_store()
    {
        gateway_fleet fleet(options("5000ms"));
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        CPPUNIT_ASSERT(evacuate(fleet, "a"));
        CPPUNIT_ASSERT(wait_until([&] { return status_of(fleet, ++calls_) == 503; }, follow_limit));
        fleet.store.process->kill();
        CPPUNIT_ASSERT(
            fleet.gateways.front().process->wait_for_output("platform_lost", follow_limit));
        CPPUNIT_ASSERT_EQUAL(503U, status_of(fleet, ++calls_));
    }

    void nothing_is_evacuated_without_a_bound()
    {
        gateway_fleet fleet(options("ms"));
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        CPPUNIT_ASSERT(evacuate(fleet, "a"));
        CPPUNIT_ASSERT(wait_until([&] { return status_of(fleet, ++calls_) == 200; }, follow_limit));
        CPPUNIT_ASSERT(!fleet.gateways.front().process->wait_for_output(
            "domain_evacuated", std::chrono::milliseconds(500)));
    }

private:
    static gateway_fleet_options options(const std::string& bound)
    {
        return {.gateways = 1,
                .engines = 1,
                .services = 1,
                .gateway_arguments = {"--evacuation-bound=" + bound}};
    }

    int calls_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_evacuation_test);

} // namespace snipespar::testing
