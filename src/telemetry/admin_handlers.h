#pragma once

#include <functional>
#include <string>

namespace snipespar::telemetry {

/// Whether a process may be given work.
struct readiness {
    bool ready = false;
    /// Why not, in a few words; empty when ready.
    std::string reason;

    friend bool operator==(const readiness&, const readiness&) = default;
};

/// What an admin server shows. The functions are called on the server's executor.
struct admin_handlers {
    /// Metrics in the text exposition format.
    std::function<std::string()> metrics;
    std::function<readiness()> ready;
    /// The process's state as a JSON document.
    std::function<std::string()> status;
};

} // namespace snipespar::telemetry
