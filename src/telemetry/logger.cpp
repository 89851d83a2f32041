#include "telemetry/logger.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <fmt/core.h>
#include <fmt/format.h>
#include <iterator>
#include <tuple>
#include <utility>

namespace snipespar::telemetry {

namespace {

constexpr unsigned char first_printable = 0x20;
constexpr unsigned char delete_character = 0x7f;

bool is_control(char character)
{
    const auto code = static_cast<unsigned char>(character);
    return code < first_printable || code == delete_character;
}

bool needs_quotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](char character) {
               return character == ' ' || character == '"' || character == '=' ||
                      character == '\\' || is_control(character);
           });
}

void append_quoted(std::string& line, std::string_view value)
{
    line += '"';
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            line += '\\';
            line += character;
        }
        else if (is_control(character)) {
            fmt::format_to(std::back_inserter(line), "\\x{:02x}",
                           static_cast<unsigned char>(character));
        }
        else {
            line += character;
        }
    }
    line += '"';
}

void append_field(std::string& line, std::string_view key, std::string_view value)
{
    line += ' ';
    line += key;
    line += '=';
    if (needs_quotes(value)) {
        append_quoted(line, value);
    }
    else {
        line += value;
    }
}

// UTC in the form 2026-01-31T12:00:00.123Z.
std::string format_time(std::chrono::system_clock::time_point time)
{
    const auto since_epoch = time.time_since_epoch();
    const auto whole = std::chrono::floor<std::chrono::seconds>(since_epoch);
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch - whole);
    const auto seconds = static_cast<std::time_t>(whole.count());
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    constexpr int first_year = 1900;
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z", parts.tm_year + first_year,
                       parts.tm_mon + 1, parts.tm_mday, parts.tm_hour, parts.tm_min, parts.tm_sec,
                       millis.count());
}

} // namespace

std::string format_line(std::chrono::system_clock::time_point time, log_level level,
                        std::string_view event, std::span<const log_field> fields)
{
    std::string line = fmt::format("ts={} level={}", format_time(time), to_string(level));
    append_field(line, "event", event);
    for (const auto& field : fields) {
        append_field(line, field.key, field.value);
    }
    line += '\n';
    return line;
}

// Unlike fmt::print, fwrite does not throw when the output is closed or full.
logger::logger()
    : logger([](std::string_view line) {
          std::ignore = std::fwrite(line.data(), 1, line.size(), stderr);
      })
{
}

logger::logger(sink output) : output_(std::move(output)) {}

void logger::info(std::string_view event, const std::vector<log_field>& fields) const
{
    write(log_level::info, event, fields);
}

void logger::warning(std::string_view event, const std::vector<log_field>& fields) const
{
    write(log_level::warning, event, fields);
}

void logger::error(std::string_view event, const std::vector<log_field>& fields) const
{
    write(log_level::error, event, fields);
}

void logger::write(log_level level, std::string_view event, std::span<const log_field> fields) const
{
    output_(format_line(std::chrono::system_clock::now(), level, event, fields));
}

} // namespace snipespar::telemetry
