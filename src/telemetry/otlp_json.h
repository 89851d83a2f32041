#pragma once

#include "telemetry/span.h"

#include <span>
#include <string>

namespace snipespar::telemetry {

/// The process that recorded the spans.
struct trace_resource {
    std::string service;
    std::string host;
    std::string failure_domain;

    friend bool operator==(const trace_resource&, const trace_resource&) = default;
};

/// Body of an OTLP/HTTP JSON export request (`POST /v1/traces`). Bytes that are not valid UTF-8 are
/// replaced.
std::string to_otlp_json(const trace_resource& resource, std::span<const span> spans);

} // namespace snipespar::telemetry
