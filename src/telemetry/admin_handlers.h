#pragma once

#include <functional>
#include <string>

namespace snipespar::telemetry {

/// Whether a process accepts work.
struct readiness {
    bool ready = false;
    /// Short reason for not being ready; empty when ready.
    std::string reason;

    friend bool operator==(const readiness&, const readiness&) = default;
};

/// Content that an admin server serves. The functions are called on the server's executor.
struct admin_handlers {
    /// Metrics in the text exposition format.
    std::function<std::string()> metrics;
    std::function<readiness()> ready;
    /// The process's state as a JSON document.
    std::function<std::string()> status;
};

} // namespace snipespar::telemetry
