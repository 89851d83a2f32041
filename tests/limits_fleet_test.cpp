#include "limits/limit_node.h"
#include "support/limit_fleet.h"
#include "support/seeded_check.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace snipespar::limits {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const limit_id team("team/haulage");
const limit_id concurrent_loads("weight-store/loads-at-once");

enum class step_kind {
    run,
    flood,
    burst,
    storm,
    loads,
    replace,
    long_pause,
    crash,
    start,
    pause,
    resume,
    partition,
    heal,
    outage,
    platform_back,
    faults,
    no_faults,
    leave,
};

struct step {
    step_kind kind = step_kind::run;
    std::size_t host = 0;
    std::uint32_t amount = 0;
};

std::ostream& operator<<(std::ostream& os, const step& value)
{
    return os << '{' << static_cast<int>(value.kind) << ", " << value.host << ", " << value.amount
              << '}';
}

rc::Gen<step> any_step(std::size_t hosts)
{
    return rc::gen::build<step>(
        rc::gen::set(&step::kind,
                     rc::gen::weightedElement<step_kind>({{6, step_kind::run},
                                                          {8, step_kind::flood},
                                                          {4, step_kind::burst},
                                                          {6, step_kind::storm},
                                                          {3, step_kind::loads},
                                                          {3, step_kind::replace},
                                                          {3, step_kind::long_pause},
                                                          {2, step_kind::crash},
                                                          {3, step_kind::start},
                                                          {2, step_kind::pause},
                                                          {3, step_kind::resume},
                                                          {1, step_kind::partition},
                                                          {2, step_kind::heal},
                                                          {1, step_kind::outage},
                                                          {2, step_kind::platform_back},
                                                          {2, step_kind::faults},
                                                          {1, step_kind::no_faults},
                                                          {1, step_kind::leave}})),
        rc::gen::set(&step::host, rc::gen::inRange<std::size_t>(0, hosts)),
        rc::gen::set(&step::amount, rc::gen::inRange<std::uint32_t>(0, 100)));
}

std::vector<limit_spec> specs()
{
    return {{team, limit_form::rate, 1000 * micro_per_token, 500 * micro_per_token},
            {concurrent_loads, limit_form::concurrency, 0, 2 * micro_per_token}};
}

// Requests over all hosts for `amount` times 20 ms, about five times the team's rate.
void flood(limit_fleet& fleet, std::uint32_t amount)
{
    for (std::uint32_t i = 0; i < amount; ++i) {
        const micro_tokens tokens = 20 + static_cast<micro_tokens>(fleet.random(160));
        fleet.admit(fleet.random(fleet.hosts()), team, tokens * micro_per_token,
                    milliseconds(fleet.random(800)));
        fleet.run(milliseconds(20));
    }
}

// All hosts concurrently request more than the burst, in parts.
void storm(limit_fleet& fleet, std::uint32_t amount)
{
    constexpr int parts = 12;
    for (int part = 0; part < parts; ++part) {
        for (std::size_t host = 0; host < fleet.hosts(); ++host) {
            fleet.admit(host, team, 45 * micro_per_token, milliseconds(fleet.random(amount + 1)));
            fleet.admit(host, concurrent_loads, micro_per_token,
                        milliseconds(fleet.random(amount + 1)));
        }
        fleet.run(milliseconds(1));
    }
}

// Pauses a process, often for longer than `member_dwell`, and resumes it after its share has been
// redistributed.
void long_pause(limit_fleet& fleet, const step& value)
{
    fleet.admit(value.host, team, 200 * micro_per_token, seconds(value.amount % 15));
    fleet.run(milliseconds(value.amount));
    fleet.pause(value.host);
    fleet.run(seconds(value.amount % 20));
    storm(fleet, value.amount);
    fleet.resume(value.host);
    storm(fleet, value.amount);
}

void execute_step(limit_fleet& fleet, const step& value)
{
    switch (value.kind) {
    case step_kind::run:
        fleet.run(milliseconds(value.amount * value.amount * 2));
        return;
    case step_kind::flood:
        flood(fleet, value.amount);
        return;
    case step_kind::burst:
        fleet.admit(value.host, team, 500 * micro_per_token, milliseconds(value.amount * 300));
        fleet.run(milliseconds(60));
        return;
    case step_kind::storm:
        storm(fleet, value.amount);
        return;
    case step_kind::replace:
        fleet.crash(value.host);
        fleet.run(seconds(value.amount % 20));
        storm(fleet, value.amount);
        fleet.start(value.host);
        return;
    case step_kind::long_pause:
        long_pause(fleet, value);
        return;
    case step_kind::loads:
        fleet.admit(value.host, concurrent_loads, micro_per_token, milliseconds(value.amount * 20));
        fleet.run(milliseconds(10));
        return;
    case step_kind::crash:
        fleet.crash(value.host);
        return;
    case step_kind::start:
        fleet.start(value.host);
        return;
    case step_kind::pause:
        fleet.pause(value.host);
        return;
    case step_kind::resume:
        fleet.resume(value.host);
        return;
    case step_kind::partition:
        fleet.set_partitioned(value.host, true);
        return;
    case step_kind::heal:
        fleet.set_partitioned(value.host, false);
        return;
    case step_kind::outage:
        fleet.outage = true;
        return;
    case step_kind::platform_back:
        fleet.outage = false;
        return;
    case step_kind::faults:
        fleet.faults = {value.amount / 4, value.amount / 3, value.amount / 3, value.amount / 2};
        return;
    case step_kind::no_faults:
        fleet.faults = {};
        return;
    case step_kind::leave:
        fleet.leave(value.host);
        return;
    }
}

} // namespace

class limits_fleet_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(limits_fleet_test);
    CPPUNIT_TEST(never_more_than_rate_and_burst_under_faults);
    CPPUNIT_TEST_SUITE_END();

public:
    void never_more_than_rate_and_burst_under_faults()
    {
        const auto property = [](std::uint64_t seed) {
            const auto steps = *rc::gen::container<std::vector<step>>(any_step(5));
            limit_fleet fleet(5, specs(), seed);
            fleet.run(seconds(3));
            for (const auto& value : steps) {
                execute_step(fleet, value);
                RC_ASSERT(fleet.excess() <= 0);
            }
        };
        CPPUNIT_ASSERT(seeded_check("limits hold under faults", 1, 150, property));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limits_fleet_test);

} // namespace snipespar::limits
