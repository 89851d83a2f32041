#pragma once

#include "telemetry/printable.h"

#include <string>
#include <string_view>

namespace snipespar::telemetry {

/// One `key=value` of a log line.
struct log_field {
    template <printable Value>
    log_field(std::string_view field_key, const Value& field_value)
        : key(field_key), value(print(field_value))
    {
    }

    std::string key;
    std::string value;

    friend bool operator==(const log_field&, const log_field&) = default;
};

} // namespace snipespar::telemetry
