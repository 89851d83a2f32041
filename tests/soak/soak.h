#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipespar::testing {

/// What one soak is to do.
struct soak_options {
    std::uint64_t seed = 1;
    std::chrono::milliseconds length{4000};
    std::size_t gateways = 3;
    std::size_t engines = 3;
    std::size_t services = 3;
    std::size_t callers = 6;
};

/// What came of it.
struct soak_result {
    /// One line a broken promise.
    std::vector<std::string> broken;
    /// The faults in order, for a report.
    std::vector<std::string> faults;
    std::map<unsigned, int> totals;
    /// From the end of the last fault until every gateway served a call of each kind.
    std::chrono::milliseconds recovery{0};
    /// Output of the gateways and sidecars that ran last, by name.
    std::map<std::string, std::string> logs;
};

/// Runs real gateways and sidecars before stand-ins, brings faults about from outside, and checks
/// the promises from what callers and upstreams see. The faults follow from the seed; their effect
/// depends on the machine's timing too.
soak_result run_soak(const soak_options& options);

} // namespace snipespar::testing
