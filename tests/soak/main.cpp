// Runs soaks by hand: real processes, injected faults, checked guarantees.
//
// usage: soak FIRST_SEED LAST_SEED [SECONDS [GATEWAYS ENGINES SERVICES CALLERS]]

#include "soak/soak.h"

#include <cstdlib>
#include <fmt/core.h>
#include <string>
#include <vector>

namespace {

// Above this the logs are printed for investigation.
constexpr std::chrono::milliseconds slow_recovery{5000};

} // namespace

int main(int argc, char** argv)
{
    using namespace snipespar::testing;
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.size() < 2) {
        fmt::print(stderr, "usage: soak FIRST_SEED LAST_SEED [SECONDS [GATEWAYS ENGINES SERVICES "
                           "CALLERS]]\n");
        return EXIT_FAILURE;
    }
    const auto number = [&](std::size_t index, std::size_t absent) {
        return index < arguments.size() ? std::stoull(arguments[index]) : absent;
    };
    int passed = 0;
    int failed = 0;
    for (auto seed = number(0, 1); seed <= number(1, 1); ++seed) {
        const soak_options defaults;
        const auto result = run_soak({.seed = seed,
                                      .length = std::chrono::seconds(number(2, 4)),
                                      .gateways = number(3, defaults.gateways),
                                      .engines = number(4, defaults.engines),
                                      .services = number(5, defaults.services),
                                      .callers = number(6, defaults.callers)});
        std::string totals;
        for (const auto& [status, count] : result.totals) {
            totals += fmt::format(" {}: {}", status, count);
        }
        fmt::print("seed {}: {} faults, responses{}, recovered after {} ms\n", seed,
                   result.faults.size(), totals, result.recovery.count());
        for (const auto& line : result.violations) {
            fmt::print("  VIOLATION {}\n", line);
        }
        if (!result.violations.empty() || result.recovery > slow_recovery) {
            for (const auto& fault : result.faults) {
                fmt::print("  fault {}\n", fault);
            }
            for (const auto& [name, log] : result.logs) {
                fmt::print("  log of {}\n{}\n", name, log);
            }
        }
        std::fflush(stdout);
        ++(result.violations.empty() ? passed : failed);
    }
    fmt::print("{} passed, {} failed\n", passed, failed);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
