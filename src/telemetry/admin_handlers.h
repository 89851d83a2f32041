#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace snipespar::telemetry {

/// Whether a process accepts work.
struct readiness {
    bool ready = false;
    /// Short reason for not being ready; empty when ready.
    std::string reason;

    friend bool operator==(const readiness&, const readiness&) = default;
};

/// Answer to a query.
struct query_answer {
    unsigned status = 200;
    /// A JSON document.
    std::string body;

    friend bool operator==(const query_answer&, const query_answer&) = default;
};

/// Content that an admin server serves. The functions are called on the server's executor.
struct admin_handlers {
    /// Metrics in the text exposition format.
    std::function<std::string()> metrics;
    std::function<readiness()> ready;
    /// The process's state as a JSON document.
    std::function<std::string()> status;
    /// Answers the part of the target of `/explain` after the question mark. May be empty: the path
    /// does not exist then.
    std::function<query_answer(std::string_view query)> explain = {};
};

} // namespace snipespar::telemetry
