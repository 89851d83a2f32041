#pragma once

#include "telemetry/printable.h"
#include "telemetry/trace_context.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace snipespar::telemetry {

/// Role of a process in the call that a span describes.
enum class span_kind {
    internal,
    server,
    client,
};

/// One attribute of a span.
struct span_attribute {
    template <printable Value>
    span_attribute(std::string_view attribute_key, const Value& attribute_value)
        : key(attribute_key), value(print(attribute_value))
    {
    }

    std::string key;
    std::string value;

    friend bool operator==(const span_attribute&, const span_attribute&) = default;
};

/// The work of one process for a request, with its start and end.
struct span {
    using clock = std::chrono::system_clock;

    trace_context context;
    /// All zero for the root of a trace.
    span_id parent{};
    std::string name;
    span_kind kind = span_kind::internal;
    clock::time_point start;
    clock::time_point end;
    bool failed = false;
    std::vector<span_attribute> attributes;

    friend bool operator==(const span&, const span&) = default;
};

} // namespace snipespar::telemetry
