#include "telemetry/otlp_json.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <string_view>

namespace snipespar::telemetry {

namespace {

using json = nlohmann::json;

// Values of the OTLP enumerations.
constexpr int otlp_kind_internal = 1;
constexpr int otlp_kind_server = 2;
constexpr int otlp_kind_client = 3;
constexpr int otlp_status_ok = 1;
constexpr int otlp_status_error = 2;

int otlp_kind(span_kind kind)
{
    switch (kind) {
    case span_kind::server:
        return otlp_kind_server;
    case span_kind::client:
        return otlp_kind_client;
    case span_kind::internal:
        break;
    }
    return otlp_kind_internal;
}

json attribute(std::string_view key, std::string_view value)
{
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

std::string nanoseconds(span::clock::time_point time)
{
    const auto since_epoch = time.time_since_epoch();
    return std::to_string(
        std::chrono::duration_cast<std::chrono::nanoseconds>(since_epoch).count());
}

json to_json(const span& item)
{
    json attributes = json::array();
    for (const auto& entry : item.attributes) {
        attributes.push_back(attribute(entry.key, entry.value));
    }
    json result{
        {"traceId", to_hex(item.context.trace)},
        {"spanId", to_hex(item.context.span)},
        {"name", item.name},
        {"kind", otlp_kind(item.kind)},
        {"startTimeUnixNano", nanoseconds(item.start)},
        {"endTimeUnixNano", nanoseconds(item.end)},
        {"attributes", std::move(attributes)},
        {"status", {{"code", item.failed ? otlp_status_error : otlp_status_ok}}},
    };
    if (item.parent != span_id{}) {
        result["parentSpanId"] = to_hex(item.parent);
    }
    return result;
}

json to_json(const trace_resource& resource)
{
    return {{"attributes", json::array({attribute("service.name", resource.service),
                                        attribute("host.name", resource.host),
                                        attribute("failure_domain", resource.failure_domain)})}};
}

} // namespace

std::string to_otlp_json(const trace_resource& resource, std::span<const span> spans)
{
    json list = json::array();
    for (const auto& item : spans) {
        list.push_back(to_json(item));
    }
    const json scope{{"scope", {{"name", "snipespar"}}}, {"spans", std::move(list)}};
    const json request{
        {"resourceSpans", json::array({json{{"resource", to_json(resource)},
                                            {"scopeSpans", json::array({scope})}}})}};
    return request.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace snipespar::telemetry
