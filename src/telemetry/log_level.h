#pragma once

#include <string_view>

namespace snipespar::telemetry {

/// Importance of a log line.
enum class log_level {
    info,
    warning,
    error,
};

/// The form used in log lines.
constexpr std::string_view to_string(log_level level)
{
    switch (level) {
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    case log_level::info:
        break;
    }
    return "info";
}

} // namespace snipespar::telemetry
