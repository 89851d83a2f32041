#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace snipespar::telemetry {

/// Identifies one trace.
using trace_id = std::array<std::uint8_t, 16>;

/// Identifies one span of a trace.
using span_id = std::array<std::uint8_t, 8>;

/// Position within a trace, passed between processes in the W3C `traceparent` header.
struct trace_context {
    trace_id trace{};
    span_id span{};
    bool sampled = true;

    friend bool operator==(const trace_context&, const trace_context&) = default;
};

/// Lower-case hexadecimal.
std::string to_hex(const trace_id& id);
std::string to_hex(const span_id& id);

/// Parses a `traceparent` header by the rules of W3C Trace Context; no value if it is malformed.
std::optional<trace_context> parse_traceparent(std::string_view text);

/// Formats a `traceparent` header of version 00.
std::string format_traceparent(const trace_context& context);

} // namespace snipespar::telemetry
