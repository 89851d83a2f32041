#include "platform/config_reader.h"

#include "base/json_reader.h"
#include "base/json_text.h"
#include "base/whole_number.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

namespace snipespar::platform {

namespace {

// Work of one step: about a millisecond of processor on the bench's machine.
constexpr int step_work = 2'000;
constexpr int work_of_decoded_route = 20;
constexpr int work_of_shared_route = 1;
// Longer than any start-up; bounds what a configuration can make gateways hold back.
constexpr double max_cold_s = 3600;

duration milliseconds(const json_reader& fields, const char* name)
{
    return std::chrono::milliseconds(fields.integer<std::uint32_t>(name));
}

int integer_or(const json_reader& fields, const char* name, int fallback)
{
    return fields.has(name) ? static_cast<int>(fields.integer<std::uint16_t>(name)) : fallback;
}

double real_or(const json_reader& fields, const char* name, double fallback)
{
    return fields.has(name) ? fields.real(name) : fallback;
}

bool flag_or(const json_reader& fields, const char* name, bool fallback)
{
    return fields.has(name) ? fields.flag(name) : fallback;
}

gateway::call_kind read_kind(const json_reader& fields)
{
    const auto text = fields.text("route_type");
    if (text == "safe") {
        return gateway::call_kind::safe;
    }
    if (text == "streaming") {
        return gateway::call_kind::stream;
    }
    // An unknown kind is treated as unsafe, the most restrictive one.
    return gateway::call_kind::unsafe;
}

gateway::route_rule read_route(const json_reader& fields)
{
    gateway::route_rule route;
    route.id = route_id(fields.text("name"));
    route.host = fields.text("host");
    route.path_prefix = fields.text("path_prefix");
    route.kind = read_kind(fields);
    route.time_limit = milliseconds(fields, "timeout_ms");
    route.target_latency =
        fields.has("target_latency_ms") ? milliseconds(fields, "target_latency_ms") : duration{};
    route.priority = integer_or(fields, "priority", 0);
    route.max_attempts = integer_or(fields, "max_attempts", 1);
    route.is_public = flag_or(fields, "public", false);
    route.is_resumable = flag_or(fields, "resumable", false);
    route.target_gap = fields.has("gap_aim_ms") ? milliseconds(fields, "gap_aim_ms") : duration{};
    // The platform calls a service an "upstream".
    fields.each("weighted_upstreams", [&](const json_reader& item) {
        route.services.push_back({item.text("upstream"), item.real("weight")});
    });
    if (route.services.empty()) {
        route.services.push_back({fields.text("upstream"), 1});
    }
    return route;
}

gateway::service_rule read_service(const json_reader& fields, const nlohmann::json& content,
                                   absl::Status& status)
{
    gateway::service_rule service;
    service.name = fields.text("name");
    service.max_connections = integer_or(fields, "max_connections", 0);
    const std::chrono::duration<double> cold_time{
        std::clamp(real_or(fields, "cold_start_s", 0), 0.0, max_cold_s)};
    service.cold_time = std::chrono::ceil<duration>(cold_time);
    service.cold_rate_per_s = std::max(real_or(fields, "cold_per_s", 0), 0.0);
    const auto found = content.find("engine");
    if (found != content.end() && found->is_object()) {
        const json_reader engine(*found, fields.path() + ".engine", status);
        gateway::engine_rule rule;
        rule.slots = integer_or(engine, "slots", 1);
        rule.memory_tokens = to_whole_number(real_or(engine, "kv_capacity", 0));
        rule.adapter_slots = integer_or(engine, "adapter_slots", 0);
        engine.each("models",
                    [&](const json_reader& item) { rule.models.push_back(item.text("name")); });
        service.engine = std::move(rule);
    }
    return service;
}

gateway::team_rule read_team(const json_reader& fields)
{
    gateway::team_rule team;
    team.id = team_id(fields.text("name"));
    team.keys = fields.texts("api_keys");
    team.priority = integer_or(fields, "priority", 0);
    team.default_tokens = to_whole_number(real_or(fields, "plain_tokens", 1));
    team.rate_per_s = real_or(fields, "rate_per_s", 0);
    team.burst = real_or(fields, "burst", 0);
    return team;
}

gateway::caller_limits read_limits(const json_reader& fields)
{
    return {
        .max_header_bytes = fields.integer<std::uint32_t>("max_header_bytes"),
        .max_body_bytes = fields.integer<std::uint64_t>("max_body_bytes"),
        .header_timeout = milliseconds(fields, "header_timeout_ms"),
        .idle_timeout = milliseconds(fields, "idle_timeout_ms"),
    };
}

} // namespace

config_reader::config_reader() = default;

config_reader::~config_reader() = default;

void config_reader::begin(std::string text)
{
    cancel();
    next_ = std::make_unique<version_content>();
    next_->text = std::move(text);
}

void config_reader::cancel()
{
    next_.reset();
    parts_ = {};
    cursor_.reset();
}

std::optional<config_reader::result> config_reader::read_on()
{
    if (!cursor_) {
        if (auto status = begin_routes(); !status.ok()) {
            cancel();
            return status;
        }
        return std::nullopt;
    }
    const auto is_complete = read_routes();
    if (!is_complete.ok()) {
        cancel();
        return is_complete.status();
    }
    if (!*is_complete) {
        return std::nullopt;
    }
    return finish();
}

// Reads all but the routes.
absl::Status config_reader::begin_routes()
{
    const auto members = split_json_object(next_->text);
    if (!members.ok()) {
        return absl::InvalidArgumentError("config: must be an object");
    }
    std::string_view routes = "[]";
    auto content = nlohmann::json::object();
    for (const auto& [name, text] : *members) {
        if (name == "routes") {
            routes = text;
            continue;
        }
        auto value = parse_json(text);
        if (!value.ok()) {
            return absl::InvalidArgumentError(
                fmt::format("config.{}: {}", name, std::string(value.status().message())));
        }
        content[std::string(name)] = *std::move(value);
    }
    absl::Status status;
    const json_reader fields(content, "config", status);
    parts_.version = fields.integer<std::uint64_t>("version");
    // The platform calls services "upstreams".
    std::size_t position = 0;
    fields.each("upstreams", [&](const json_reader& item) {
        const auto& service = content["upstreams"][position];
        parts_.services.push_back(read_service(item, service, status));
        ++position;
    });
    fields.each("tenants",
                [&](const json_reader& item) { parts_.teams.push_back(read_team(item)); });
    if (const auto limits = content.find("limits");
        limits != content.end() && limits->is_object()) {
        parts_.limits = read_limits(json_reader(*limits, "config.limits", status));
    }
    if (status.ok() && used_ != nullptr && parts_.version <= used_version_) {
        return absl::AlreadyExistsError("not newer than the version in use");
    }
    cursor_.emplace(routes);
    if (used_ != nullptr) {
        next_->routes.reserve(used_->routes.size());
    }
    return status;
}

// Returns whether all have been read.
absl::StatusOr<bool> config_reader::read_routes()
{
    for (int work = 0; work < step_work;) {
        const auto text = cursor_->next();
        if (!text.ok()) {
            return absl::InvalidArgumentError("config.routes: must be an array");
        }
        if (!*text) {
            return true;
        }
        std::shared_ptr<const gateway::route_rule> route;
        if (used_ != nullptr) {
            const auto known = used_->routes.find(**text);
            route = known == used_->routes.end() ? nullptr : known->second;
        }
        work += route == nullptr ? work_of_decoded_route : work_of_shared_route;
        if (route == nullptr) {
            absl::Status status;
            const auto path = fmt::format("config.routes[{}]", parts_.routes.size());
            const auto content = parse_json(**text);
            if (!content.ok()) {
                return absl::InvalidArgumentError(
                    fmt::format("{}: {}", path, std::string(content.status().message())));
            }
            route = std::make_shared<const gateway::route_rule>(
                read_route(json_reader(*content, path, status)));
            if (!status.ok()) {
                return status;
            }
        }
        next_->routes.emplace(**text, route);
        parts_.routes.add(std::move(route));
    }
    return false;
}

config_reader::result config_reader::finish()
{
    used_ = std::move(next_);
    used_version_ = parts_.version;
    cursor_.reset();
    return std::make_shared<const gateway::fleet_config>(std::move(parts_));
}

config_reader::result decode_config(std::string text)
{
    config_reader reader;
    reader.begin(std::move(text));
    auto result = reader.read_on();
    while (!result) {
        result = reader.read_on();
    }
    return *std::move(result);
}

} // namespace snipespar::platform
