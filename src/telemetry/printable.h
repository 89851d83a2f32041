#pragma once

#include <concepts>
#include <fmt/format.h>
#include <string>

namespace snipespar::telemetry {

/// A named value of the project, such as an id.
template <class Value>
concept named_value = requires(const Value& value) {
    { value.str() } -> std::convertible_to<std::string>;
};

/// A value that may appear in logs, traces and metrics. `secret` is deliberately not one.
template <class Value>
concept printable = named_value<Value> || fmt::is_formattable<Value>::value;

/// The text of a printable value.
template <printable Value>
std::string print(const Value& value)
{
    if constexpr (named_value<Value>) {
        return value.str();
    }
    else {
        return fmt::format("{}", value);
    }
}

} // namespace snipespar::telemetry
