#include "platform/engine_codec.h"

#include "base/json_reader.h"
#include "base/whole_number.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace snipespar::platform {

namespace {

// An engine gets orders only from the sidecar of its host, so a constant fencing number suffices.
constexpr unsigned fencing_number = 1;

// Splits NAME@VERSION; an absent version gives 0.
std::pair<std::string, std::uint64_t> split_version(const std::string& text)
{
    const auto at = text.rfind('@');
    std::uint64_t version = 0;
    if (at == std::string::npos || !absl::SimpleAtoi(text.substr(at + 1), &version)) {
        return {text, 0};
    }
    return {text.substr(0, at), version};
}

} // namespace

absl::StatusOr<sidecar::engine_report> decode_engine_report(const std::string& text)
{
    absl::Status status;
    const auto value = json_reader::parse(text, status);
    const json_reader fields(value, "report", status);
    sidecar::engine_report report;
    report.process_start_ms = fields.has("born") ? fields.integer<std::uint64_t>("born") : 0;
    // "seq" counts the orders that the engine has accepted.
    report.orders_accepted = fields.integer<std::uint64_t>("seq");
    report.is_busy = fields.flag("busy");
    fields.each("models", [&](const json_reader& model) {
        const auto name = model.text("name");
        report.models.push_back(name);
        for (const auto& item : model.texts("adapters")) {
            const auto [adapter, version] = split_version(item);
            report.adapters[fmt::format("{}/{}", name, adapter)] = version;
        }
    });
    for (const auto& item : fields.texts("coming")) {
        report.loading.push_back(split_version(item).first);
    }
    // Control messages carry counts of this width.
    report.running = static_cast<int>(fields.integer<std::uint16_t>("running"));
    report.waiting = static_cast<int>(fields.integer<std::uint16_t>("waiting"));
    report.memory_used = to_whole_number(fields.real("kv_used"));
    if (!status.ok()) {
        return status;
    }
    return report;
}

std::string encode_order(const sidecar::engine_order& order, const std::string& holder)
{
    const bool is_load = order.op == sidecar::engine_order::operation::load;
    nlohmann::json value{{"operation", is_load ? "load" : "unload"},
                         {"model", order.model},
                         {"expect", order.orders_before},
                         {"holder", holder},
                         {"fence", fencing_number}};
    if (!order.adapter.empty()) {
        value["adapter"] = order.adapter;
    }
    if (order.version) {
        value["version"] = *order.version;
    }
    return value.dump();
}

} // namespace snipespar::platform
