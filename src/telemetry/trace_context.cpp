#include "telemetry/trace_context.h"

#include <algorithm>
#include <cstddef>
#include <fmt/format.h>

namespace snipespar::telemetry {

namespace {

// Lengths and offsets of `00-<32 hex>-<16 hex>-<2 hex>`.
constexpr std::size_t header_length = 55;
constexpr std::size_t trace_offset = 3;
constexpr std::size_t span_offset = 36;
constexpr std::size_t flags_offset = 53;
constexpr std::uint8_t sampled_flag = 1;
constexpr std::uint8_t forbidden_version = 0xff;

std::optional<std::uint8_t> hex_digit(char character)
{
    if (character >= '0' && character <= '9') {
        return static_cast<std::uint8_t>(character - '0');
    }
    if (character >= 'a' && character <= 'f') {
        return static_cast<std::uint8_t>(character - 'a' + 10);
    }
    return std::nullopt;
}

template <std::size_t Size>
std::optional<std::array<std::uint8_t, Size>> parse_hex(std::string_view text)
{
    std::array<std::uint8_t, Size> bytes{};
    for (std::size_t i = 0; i < Size; ++i) {
        const auto high = hex_digit(text[2 * i]);
        const auto low = hex_digit(text[(2 * i) + 1]);
        if (!high || !low) {
            return std::nullopt;
        }
        bytes.at(i) = static_cast<std::uint8_t>((*high << 4U) | *low);
    }
    return bytes;
}

template <std::size_t Size>
std::string format_hex(const std::array<std::uint8_t, Size>& bytes)
{
    std::string text;
    text.reserve(2 * Size);
    for (const auto byte : bytes) {
        text += fmt::format("{:02x}", byte);
    }
    return text;
}

template <std::size_t Size>
bool is_zero(const std::array<std::uint8_t, Size>& bytes)
{
    return std::all_of(bytes.begin(), bytes.end(), [](std::uint8_t byte) { return byte == 0; });
}

// Version 00 has a fixed length; later versions may append fields.
bool has_valid_length(std::string_view text, std::uint8_t version)
{
    if (version == 0) {
        return text.size() == header_length;
    }
    return text.size() == header_length || text[header_length] == '-';
}

} // namespace

std::string to_hex(const trace_id& id)
{
    return format_hex(id);
}

std::string to_hex(const span_id& id)
{
    return format_hex(id);
}

std::optional<trace_context> parse_traceparent(std::string_view text)
{
    if (text.size() < header_length || text[trace_offset - 1] != '-' ||
        text[span_offset - 1] != '-' || text[flags_offset - 1] != '-') {
        return std::nullopt;
    }
    const auto version = parse_hex<1>(text);
    const auto trace = parse_hex<std::tuple_size_v<trace_id>>(text.substr(trace_offset));
    const auto span = parse_hex<std::tuple_size_v<span_id>>(text.substr(span_offset));
    const auto flags = parse_hex<1>(text.substr(flags_offset));
    if (!version || !trace || !span || !flags || version->front() == forbidden_version ||
        !has_valid_length(text, version->front()) || is_zero(*trace) || is_zero(*span)) {
        return std::nullopt;
    }
    return trace_context{*trace, *span, (flags->front() & sampled_flag) != 0};
}

std::string format_traceparent(const trace_context& context)
{
    return fmt::format("00-{}-{}-{:02x}", to_hex(context.trace), to_hex(context.span),
                       context.sampled ? 1 : 0);
}

} // namespace snipespar::telemetry
