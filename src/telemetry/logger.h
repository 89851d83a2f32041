#pragma once

#include "telemetry/log_field.h"
#include "telemetry/log_level.h"

#include <chrono>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace snipespar::telemetry {

/// Formats one log line in logfmt, including the line feed. Values are quoted where needed and
/// control characters are escaped, so that no value can start a second line.
std::string format_line(std::chrono::system_clock::time_point time, log_level level,
                        std::string_view event, std::span<const log_field> fields);

/// Writes structured lines. Any thread may use it; each line is written whole.
class logger {
public:
    /// Receives one complete line. Must be safe to call from any thread.
    using sink = std::function<void(std::string_view line)>;

    /// Writes to standard error.
    logger();
    explicit logger(sink output);

    void info(std::string_view event, const std::vector<log_field>& fields = {}) const;
    void warning(std::string_view event, const std::vector<log_field>& fields = {}) const;
    void error(std::string_view event, const std::vector<log_field>& fields = {}) const;

private:
    void write(log_level level, std::string_view event, std::span<const log_field> fields) const;

    sink output_;
};

} // namespace snipespar::telemetry
