#include "control/message.h"

#include "base/cbor.h"
#include "base/json_reader.h"

#include <nlohmann/json.hpp>

namespace snipespar::control {

namespace {

using json = nlohmann::json;

// Raised when a field changes its meaning; messages of another version are refused.
constexpr unsigned protocol_version = 1;

json header(std::string_view type)
{
    return {{"protocol", protocol_version}, {"type", type}};
}

json to_json(const adapter_demand& content)
{
    auto value = header("demand");
    value["gateway"] = content.gateway;
    value["start"] = content.gateway_start;
    value["config"] = content.config_version;
    value["slots"] = static_cast<unsigned>(content.adapter_slots);
    value["models"] = content.models;
    auto uses = json::array();
    for (const auto& use : content.uses) {
        uses.push_back({{"model", use.model},
                        {"adapter", use.adapter},
                        {"waiting", static_cast<unsigned>(use.waiting)},
                        {"running", static_cast<unsigned>(use.running)}});
    }
    value["uses"] = std::move(uses);
    return value;
}

json to_json(const gateway_usage& content)
{
    auto value = header("usage");
    value["gateway"] = content.gateway;
    value["start"] = content.gateway_start;
    value["sequence"] = content.sequence;
    value["config"] = content.config_version;
    value["leaving"] = content.is_leaving;
    auto teams = json::array();
    for (const auto& [team, tokens] : content.team_tokens) {
        teams.push_back({{"team", team}, {"tokens", tokens}});
    }
    value["teams"] = std::move(teams);
    return value;
}

json to_json(const sidecar_report& content)
{
    const auto& status = content.status;
    auto value = header("engine");
    value["engine"] = status.engine;
    value["start"] = status.sidecar_start;
    value["sequence"] = status.sequence;
    value["models"] = status.models;
    auto adapters = json::array();
    for (const auto& [name, version] : status.adapters) {
        adapters.push_back({{"name", name}, {"version", version}});
    }
    value["adapters"] = std::move(adapters);
    value["loading"] = status.loading;
    value["running"] = static_cast<unsigned>(status.running);
    value["waiting"] = static_cast<unsigned>(status.waiting);
    value["memory"] = status.memory_used;
    value["full"] = status.is_full;
    value["gateways"] = content.gateways;
    return value;
}

int count(const json_reader& fields, const char* name)
{
    return static_cast<int>(fields.integer<std::uint16_t>(name));
}

adapter_demand read_demand(const json_reader& fields)
{
    adapter_demand content{
        .gateway = fields.text("gateway"),
        .gateway_start = fields.integer<std::uint64_t>("start"),
        .config_version = fields.integer<std::uint64_t>("config"),
        .adapter_slots = count(fields, "slots"),
        .models = fields.texts("models"),
        .uses = {},
    };
    fields.each("uses", [&](const json_reader& use) {
        content.uses.push_back(
            {use.text("model"), use.text("adapter"), count(use, "waiting"), count(use, "running")});
    });
    return content;
}

gateway_usage read_usage(const json_reader& fields)
{
    gateway_usage content{
        .gateway = fields.text("gateway"),
        .gateway_start = fields.integer<std::uint64_t>("start"),
        .sequence = fields.integer<std::uint64_t>("sequence"),
        .config_version = fields.integer<std::uint64_t>("config"),
        .is_leaving = fields.flag("leaving"),
        .team_tokens = {},
    };
    fields.each("teams", [&](const json_reader& team) {
        content.team_tokens[team.text("team")] = team.integer<std::uint64_t>("tokens");
    });
    return content;
}

sidecar_report read_report(const json_reader& fields)
{
    sidecar_report content;
    auto& status = content.status;
    status.engine = fields.text("engine");
    status.sidecar_start = fields.integer<std::uint64_t>("start");
    status.sequence = fields.integer<std::uint64_t>("sequence");
    status.models = fields.texts("models");
    fields.each("adapters", [&](const json_reader& item) {
        status.adapters[item.text("name")] = item.integer<std::uint64_t>("version");
    });
    status.loading = fields.texts("loading");
    status.running = count(fields, "running");
    status.waiting = count(fields, "waiting");
    status.memory_used = fields.integer<std::uint64_t>("memory");
    status.is_full = fields.flag("full");
    content.gateways = fields.texts("gateways");
    return content;
}

} // namespace

std::string encode(const message& content)
{
    return to_cbor(std::visit([](const auto& item) { return to_json(item); }, content));
}

absl::StatusOr<message> decode(std::string_view bytes)
{
    const auto value = from_cbor(bytes);
    if (!value.ok()) {
        return value.status();
    }
    absl::Status status;
    const json_reader fields(*value, "message", status);
    if (fields.integer<unsigned>("protocol") != protocol_version) {
        return absl::InvalidArgumentError("another protocol version");
    }
    const auto type = fields.text("type");
    message content;
    if (type == "demand") {
        content = read_demand(fields);
    }
    else if (type == "usage") {
        content = read_usage(fields);
    }
    else if (type == "engine") {
        content = read_report(fields);
    }
    else {
        fields.fail("message.type", "is unknown");
    }
    if (!status.ok()) {
        return status;
    }
    return content;
}

} // namespace snipespar::control
