#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipespar::testing {

/// Parameters of one soak.
struct soak_options {
    std::uint64_t seed = 1;
    std::chrono::milliseconds length{4000};
    std::size_t gateways = 3;
    std::size_t engines = 3;
    std::size_t services = 3;
    std::size_t callers = 6;
};

/// Outcome of one soak.
struct soak_result {
    /// One line per violated guarantee.
    std::vector<std::string> violations;
    /// Injected faults in order, for the report.
    std::vector<std::string> faults;
    std::map<unsigned, int> totals;
    /// Time from the end of the last fault until every gateway served a call of each kind.
    std::chrono::milliseconds recovery{0};
    /// Output of the last incarnation of each gateway and sidecar, by name.
    std::map<std::string, std::string> logs;
};

/// Runs real gateways and sidecars in front of stand-ins, injects faults from outside, and checks
/// the guarantees against what callers and upstreams observe. The seed determines the faults; their
/// effect also depends on the machine's timing.
soak_result run_soak(const soak_options& options);

} // namespace snipespar::testing
