#include "cli/value_parsers.h"

#include "base/text_view.h"
#include "base/utf8.h"

#include <absl/status/status.h>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <limits>
#include <span>
#include <system_error>

namespace snipespar::cli {

namespace {

constexpr std::size_t max_name_length = 63;
constexpr std::size_t max_foreign_name_length = 253;
// All parameters of a question fit into the 8 KiB that an admin server reads, also if each byte is
// encoded as three.
constexpr std::size_t max_request_text_length = 700;
constexpr std::uint32_t max_threads = 1024;

struct unit {
    std::string_view suffix;
    std::uint64_t factor;
};

constexpr std::array<unit, 5> time_units{{
    {"us", 1},
    {"ms", 1000},
    {"s", 1000ULL * 1000},
    {"m", 60ULL * 1000 * 1000},
    {"h", 3600ULL * 1000 * 1000},
}};

constexpr std::array<unit, 5> byte_units{{
    {"", 1},
    {"B", 1},
    {"KiB", 1ULL << 10U},
    {"MiB", 1ULL << 20U},
    {"GiB", 1ULL << 30U},
}};

absl::Status unexpected(std::string_view text, std::string_view expected)
{
    return absl::InvalidArgumentError(fmt::format("\"{}\" is not {}", text, expected));
}

// Parses a text of decimal digits only; false for any other text and on overflow.
template <class Number>
bool parse_digits(std::string_view text, Number& number)
{
    const char* const begin = text.data();
    const char* const end = begin + text.size();
    const auto [stop, error] = std::from_chars(begin, end, number);
    return error == std::errc{} && stop == end;
}

// Parses digits followed by one of the units; zero, other text and overflow give an error.
absl::StatusOr<std::uint64_t> parse_quantity(std::string_view text, std::span<const unit> units,
                                             std::string_view expected)
{
    const auto* const digits_end = std::find_if_not(text.begin(), text.end(), absl::ascii_isdigit);
    const auto digits = text.substr(0, static_cast<std::size_t>(digits_end - text.begin()));
    const auto suffix = text.substr(digits.size());
    const auto found = std::find_if(units.begin(), units.end(),
                                    [&](const unit& item) { return item.suffix == suffix; });
    std::uint64_t number = 0;
    if (found == units.end() || !parse_digits(digits, number) || number == 0) {
        return unexpected(text, expected);
    }
    constexpr std::uint64_t limit = std::numeric_limits<std::int64_t>::max();
    if (number > limit / found->factor) {
        return unexpected(text, fmt::format("{} (too large)", expected));
    }
    return number * found->factor;
}

bool is_ip_address(const std::string& text)
{
    in6_addr buffer{};
    return inet_pton(AF_INET, text.c_str(), &buffer) == 1 ||
           inet_pton(AF_INET6, text.c_str(), &buffer) == 1;
}

// Splits `ip:port`; an IPv6 address must be in brackets.
absl::StatusOr<endpoint> split_endpoint(std::string_view text)
{
    constexpr std::string_view expected = "a numeric address with a port, such as 127.0.0.1:8080";
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return unexpected(text, expected);
    }
    auto host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    const auto port_text = text.substr(colon + 1);
    std::uint16_t port = 0;
    const bool is_v6 = host.find(':') != std::string_view::npos;
    if (!parse_digits(port_text, port) || is_v6 != bracketed || !is_ip_address(std::string(host))) {
        return unexpected(text, expected);
    }
    return endpoint{std::string(host), port};
}

bool is_name_character(char character)
{
    return absl::ascii_isalnum(static_cast<unsigned char>(character)) || character == '.' ||
           character == '_' || character == '-';
}

bool is_decimal_character(char character)
{
    return absl::ascii_isdigit(static_cast<unsigned char>(character)) || character == '.' ||
           character == 'e' || character == 'E' || character == '+' || character == '-';
}

// Parses a finite decimal number that is not negative.
bool parse_decimal(std::string_view text, double& number)
{
    return std::ranges::all_of(text, is_decimal_character) &&
           absl::SimpleAtod(to_absl(text), &number) && number >= 0 && std::isfinite(number);
}

bool is_visible(char character)
{
    const auto code = static_cast<unsigned char>(character);
    return code > ' ' && code != 0x7f;
}

} // namespace

absl::StatusOr<duration> parse_duration(std::string_view text)
{
    const auto microseconds =
        parse_quantity(text, time_units, "a positive duration, such as 250ms or 10s");
    if (!microseconds.ok()) {
        return microseconds.status();
    }
    return duration(static_cast<duration::rep>(*microseconds));
}

absl::StatusOr<duration> parse_time_span(std::string_view text)
{
    constexpr std::string_view expected = "a duration, such as 250ms or 2.5s";
    const auto* const found = std::ranges::find_if(
        time_units, [&](const unit& item) { return text.ends_with(item.suffix); });
    double number = 0;
    if (found == time_units.end() ||
        !parse_decimal(text.substr(0, text.size() - found->suffix.size()), number)) {
        return unexpected(text, expected);
    }
    // A century is far longer than any wait, and far from overflowing.
    constexpr double max_microseconds = 3.2e15;
    const double microseconds = number * static_cast<double>(found->factor);
    if (microseconds > max_microseconds) {
        return unexpected(text, fmt::format("{} (too large)", expected));
    }
    return duration(std::llround(microseconds));
}

absl::StatusOr<duration> parse_positive_time_span(std::string_view text)
{
    auto span = parse_time_span(text);
    if (span.ok() && *span <= duration{}) {
        return unexpected(text, "a positive duration, such as 250ms or 2.5s");
    }
    return span;
}

absl::StatusOr<std::uint64_t> parse_byte_size(std::string_view text)
{
    return parse_quantity(text, byte_units, "a positive size, such as 64KiB or 1MiB");
}

absl::StatusOr<endpoint> parse_endpoint(std::string_view text)
{
    auto parsed = split_endpoint(text);
    if (parsed.ok() && parsed->port == 0) {
        return unexpected(text, "an address to connect to, which needs a port other than 0");
    }
    return parsed;
}

absl::StatusOr<endpoint> parse_listen_endpoint(std::string_view text)
{
    return split_endpoint(text);
}

absl::StatusOr<std::vector<endpoint>> parse_endpoint_list(std::string_view text)
{
    std::vector<endpoint> list;
    if (text.empty()) {
        return list;
    }
    for (std::size_t start = 0; start <= text.size();) {
        const auto comma = std::min(text.find(',', start), text.size());
        const auto part = text.substr(start, comma - start);
        start = comma + 1;
        auto item = parse_endpoint(part);
        if (!item.ok()) {
            return item.status();
        }
        if (std::find(list.begin(), list.end(), *item) != list.end()) {
            return absl::InvalidArgumentError(fmt::format("\"{}\" is given twice", part));
        }
        list.push_back(*std::move(item));
    }
    return list;
}

absl::StatusOr<std::uint32_t> parse_thread_count(std::string_view text)
{
    std::uint32_t count = 0;
    if (!parse_digits(text, count) || count == 0 || count > max_threads) {
        return unexpected(text, fmt::format("a number of threads from 1 to {}", max_threads));
    }
    return count;
}

absl::StatusOr<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    if (!parse_digits(text, number)) {
        return unexpected(text, "a whole number of at most 64 bits");
    }
    return number;
}

absl::StatusOr<double> parse_real(std::string_view text)
{
    double number = 0;
    if (!absl::SimpleAtod(to_absl(text), &number) || !(number >= 0) || !std::isfinite(number)) {
        return unexpected(text, "a decimal number that is not negative");
    }
    return number;
}

absl::StatusOr<std::string> parse_name(std::string_view text)
{
    const bool valid = !text.empty() && text.size() <= max_name_length &&
                       std::all_of(text.begin(), text.end(), is_name_character);
    if (!valid) {
        return unexpected(text, "a name of 1 to 63 letters, digits, dots, underscores and hyphens");
    }
    return std::string(text);
}

absl::StatusOr<std::string> parse_optional_foreign_name(std::string_view text)
{
    if (text.size() > max_foreign_name_length || !is_utf8(text) ||
        !std::ranges::all_of(text, is_visible)) {
        return unexpected(text, "a name of at most 253 bytes of UTF-8 without spaces");
    }
    return std::string(text);
}

absl::StatusOr<std::string> parse_foreign_name(std::string_view text)
{
    if (text.empty()) {
        return unexpected(text, "a name");
    }
    return parse_optional_foreign_name(text);
}

absl::StatusOr<placement_rule> parse_placement(std::string_view text)
{
    if (text == "load") {
        return placement_rule::load;
    }
    if (text == "work") {
        return placement_rule::work;
    }
    return unexpected(text, "load or work");
}

absl::StatusOr<retention_rule> parse_retention(std::string_view text)
{
    if (text == "recency") {
        return retention_rule::recency;
    }
    if (text == "demand") {
        return retention_rule::demand;
    }
    return unexpected(text, "recency or demand");
}

absl::StatusOr<std::string> parse_request_text(std::string_view text)
{
    if (text.size() > max_request_text_length || !is_utf8(text) ||
        !std::ranges::all_of(text, is_visible)) {
        return unexpected(text, "a text of at most 700 bytes of UTF-8 without spaces");
    }
    return std::string(text);
}

absl::StatusOr<std::string> parse_request_path(std::string_view text)
{
    if (!text.starts_with('/')) {
        return unexpected(text, "a path that begins with /");
    }
    return parse_request_text(text);
}

absl::StatusOr<std::string> parse_path(std::string_view text)
{
    if (text.empty()) {
        return unexpected(text, "the path of a file");
    }
    return std::string(text);
}

} // namespace snipespar::cli
