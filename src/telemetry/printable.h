#pragma once

#include <concepts>
#include <fmt/format.h>
#include <string>

namespace snipespar::telemetry {

/// A value with a string form, such as an id.
template <class Value>
concept has_string_form = requires(const Value& value) {
    { value.str() } -> std::convertible_to<std::string>;
};

/// A value that may appear in logs, traces and metrics. `secret` deliberately does not qualify.
template <class Value>
concept printable = has_string_form<Value> || fmt::is_formattable<Value>::value;

/// The text of a printable value.
template <printable Value>
std::string print(const Value& value)
{
    if constexpr (has_string_form<Value>) {
        return value.str();
    }
    else {
        return fmt::format("{}", value);
    }
}

} // namespace snipespar::telemetry
