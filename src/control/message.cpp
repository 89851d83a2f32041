#include "control/message.h"

#include "base/cbor.h"
#include "base/json_reader.h"
#include "base/json_text.h"
#include "control/origin_codec.h"
#include "control/time_codec.h"
#include "control/workload_codec.h"
#include "poison/suspect_codec.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>

namespace snipespar::control {

namespace {

using json = nlohmann::json;

// Incremented when a field changes its meaning; messages of another version are rejected.
constexpr unsigned protocol_version = 1;
constexpr double milli = 1000;
constexpr unsigned max_count = std::numeric_limits<std::uint16_t>::max();
// Deeper than any message: crash findings nest five deep.
constexpr int max_depth = 8;

// Counts are numbers of calls or slots; a larger one is stated as the largest.
unsigned to_count(int number)
{
    return static_cast<unsigned>(std::clamp(number, 0, static_cast<int>(max_count)));
}

json header(std::string_view type)
{
    return {{"protocol", protocol_version}, {"type", type}};
}

json to_json(const adapter_demand& content)
{
    auto value = header("demand");
    value["gateway"] = content.gateway;
    value["start"] = content.gateway_start;
    value["upstream"] = content.upstream;
    value["born"] = content.upstream_start_ms;
    value["slots"] = to_count(content.adapter_slots);
    value["models"] = content.models;
    // Counts of waiting, running and, where stated, begun calls, and milliseconds for which a
    // waiting one is in time, by model/adapter.
    auto uses = json::object();
    for (const auto& use : content.uses) {
        auto& counts = uses[use.model + "/" + use.adapter];
        counts = {to_count(use.waiting), to_count(use.running)};
        const auto timely_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(use.timely_for).count();
        if (use.begun > 0 || timely_ms > 0) {
            counts.push_back(to_count(use.begun));
            counts.push_back(
                to_count(static_cast<int>(std::min<std::int64_t>(timely_ms, max_count))));
        }
    }
    value["uses"] = std::move(uses);
    value["versions"] = content.versions;
    return value;
}

json to_json(const gateway_usage& content)
{
    auto value = header("usage");
    value["gateway"] = content.gateway;
    value["start"] = content.gateway_start;
    value["sequence"] = content.sequence;
    value["config"] = content.config_version;
    value["leaving"] = content.is_stopping;
    value["leaving_upstreams"] = content.leaving_upstreams;
    value["complete"] = content.is_complete;
    value["interval_ms"] = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(content.report_interval).count());
    value["teams"] = content.team_tokens;
    if (content.evacuations != 0) {
        value["evacuations"] = content.evacuations;
    }
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
    // Versions by model/adapter.
    auto adapters = json::object();
    for (const auto& [name, version] : status.adapters) {
        adapters[name] = version;
    }
    value["adapters"] = std::move(adapters);
    value["loading"] = status.loading;
    value["running"] = to_count(status.running);
    value["waiting"] = to_count(status.waiting);
    value["memory"] = status.memory_used;
    add_workload(value, status.workload);
    value["full"] = status.is_full;
    value["short"] = status.is_short_of_slots;
    value["paced"] = status.is_paced;
    if (status.counts_calls) {
        value["counts_calls"] = true;
    }
    value["born"] = status.process_start_ms;
    value["gateways"] = content.gateways;
    return value;
}

json to_json(const sidecar_heartbeat& content)
{
    auto value = header("alive");
    value["engine"] = content.engine;
    value["start"] = content.sidecar_start;
    value["sequence"] = content.sequence;
    value["report"] = content.report_sequence;
    value["running"] = to_count(content.running);
    value["waiting"] = to_count(content.waiting);
    add_workload(value, content.workload);
    return value;
}

json to_json(const crash_findings& content)
{
    auto value = header("crashes");
    value["suspects"] = poison::encode(content.suspects);
    return value;
}

json to_json(const admission_request& content)
{
    auto value = header("admit");
    value["gateway"] = content.gateway;
    value["call"] = content.call;
    value["intent"] = static_cast<unsigned>(content.intent);
    value["tokens"] = content.prompt_tokens;
    value["urgency"] = to_count(content.urgency);
    value["aim_ms"] = to_ms(content.aim_wait);
    value["wait_ms"] = to_ms(content.max_wait);
    return value;
}

json to_json(const admission_answer& content)
{
    auto value = header("admission");
    value["call"] = content.call;
    value["verdict"] = static_cast<unsigned>(content.decision);
    value["wait_ms"] = to_ms(content.wait);
    return value;
}

json to_json(const stream_pause& content)
{
    auto value = header("pause");
    value["gap_ms"] = to_ms(content.gap);
    value["target_ms"] = to_ms(content.target);
    return value;
}

json to_json(const permit_request& content)
{
    auto value = header("permit");
    value["call"] = content.call;
    value["upstream"] = content.upstream.str();
    value["born"] = content.process_start_ms;
    value["ended"] = content.has_ended;
    value["rate_milli"] = static_cast<std::uint64_t>(std::lround(content.rate_per_s * milli));
    value["age_ms"] = to_ms(content.age);
    return value;
}

json to_json(const permit_answer& content)
{
    auto value = header("permitted");
    value["call"] = content.call;
    value["granted"] = content.is_granted;
    value["ended"] = content.has_ended;
    value["wait_ms"] = to_ms(content.wait);
    return value;
}

json to_json(const origin_record& content)
{
    auto value = header("began");
    add_key(value, content.key);
    add_origin(value, content.origin);
    return value;
}

json to_json(const origin_question& content)
{
    auto value = header("origin");
    value["number"] = content.number;
    add_key(value, content.key);
    return value;
}

json to_json(const origin_answer& content)
{
    auto value = header("origin_is");
    value["number"] = content.number;
    add_key(value, content.key);
    if (content.origin) {
        add_origin(value, *content.origin);
    }
    return value;
}

int count(const json_reader& fields, const char* name)
{
    return static_cast<int>(fields.integer<std::uint16_t>(name));
}

bool is_count(const json& value)
{
    return value.is_number_unsigned() && value.get<std::uint64_t>() <= max_count;
}

// Versions by model/adapter.
template <class Versions = std::map<std::string, std::uint64_t>>
Versions read_versions(const json_reader& fields, const char* name)
{
    Versions versions;
    fields.each_member(name, [&](const std::string& adapter, const json& version) {
        if (!version.is_number_unsigned()) {
            return fields.fail(fmt::format("message.{}.{}", name, adapter), "must be a version");
        }
        versions[adapter] = version.get<std::uint64_t>();
    });
    return versions;
}

adapter_demand read_demand(const json_reader& fields)
{
    adapter_demand content{
        .gateway = fields.text("gateway"),
        .gateway_start = fields.integer<std::uint64_t>("start"),
        .upstream = fields.text("upstream"),
        .upstream_start_ms = fields.integer<std::uint64_t>("born"),
        .adapter_slots = count(fields, "slots"),
        .models = fields.texts("models"),
        .uses = {},
        .versions = {},
    };
    fields.each_member("uses", [&](const std::string& name, const json& use) {
        const auto slash = name.find('/');
        const bool is_valid = slash != std::string::npos && use.is_array() &&
                              (use.size() == 2 || use.size() == 4) &&
                              std::all_of(use.begin(), use.end(), is_count);
        if (!is_valid) {
            return fields.fail("message.uses." + name,
                               "must be two or four counts, keyed by model/adapter");
        }
        auto& stated = content.uses.emplace_back();
        stated.model = name.substr(0, slash);
        stated.adapter = name.substr(slash + 1);
        stated.waiting = use[0].get<int>();
        stated.running = use[1].get<int>();
        if (use.size() == 4) {
            stated.begun = use[2].get<int>();
            stated.timely_for = std::chrono::milliseconds(use[3].get<int>());
        }
    });
    content.versions = read_versions(fields, "versions");
    return content;
}

gateway_usage read_usage(const json_reader& fields)
{
    gateway_usage content{
        .gateway = fields.text("gateway"),
        .gateway_start = fields.integer<std::uint64_t>("start"),
        .sequence = fields.integer<std::uint64_t>("sequence"),
        .config_version = fields.integer<std::uint64_t>("config"),
        .is_stopping = fields.flag("leaving"),
        .team_tokens = {},
        .leaving_upstreams = {},
        .is_complete = true,
        .report_interval = {},
        .evacuations = 0,
    };
    // Stated only where evacuations are watched.
    if (fields.has("evacuations")) {
        content.evacuations = fields.integer<std::uint64_t>("evacuations");
    }
    // Absent in messages of earlier builds.
    if (fields.has("leaving_upstreams")) {
        content.leaving_upstreams = read_versions(fields, "leaving_upstreams");
    }
    if (fields.has("complete")) {
        content.is_complete = fields.flag("complete");
    }
    if (fields.has("interval_ms")) {
        content.report_interval =
            std::chrono::milliseconds(fields.integer<std::uint16_t>("interval_ms"));
    }
    fields.each_member("teams", [&](const std::string& team, const json& tokens) {
        if (!tokens.is_number_unsigned()) {
            return fields.fail("message.teams." + team, "must be a number of tokens");
        }
        content.team_tokens[team] = tokens.get<std::uint64_t>();
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
    status.adapters = read_versions<decltype(status.adapters)>(fields, "adapters");
    status.loading = fields.texts("loading");
    status.running = count(fields, "running");
    status.waiting = count(fields, "waiting");
    status.memory_used = fields.integer<std::uint64_t>("memory");
    status.workload = read_workload(fields);
    status.is_full = fields.flag("full");
    status.is_short_of_slots = fields.flag("short");
    // Absent in messages of earlier builds.
    status.is_paced = fields.has("paced") && fields.flag("paced");
    status.counts_calls = fields.has("counts_calls") && fields.flag("counts_calls");
    status.process_start_ms = fields.has("born") ? fields.integer<std::uint64_t>("born") : 0;
    content.gateways = fields.texts("gateways");
    return content;
}

sidecar_heartbeat read_heartbeat(const json_reader& fields)
{
    return {
        .engine = fields.text("engine"),
        .sidecar_start = fields.integer<std::uint64_t>("start"),
        .sequence = fields.integer<std::uint64_t>("sequence"),
        .report_sequence = fields.integer<std::uint64_t>("report"),
        .running = count(fields, "running"),
        .waiting = count(fields, "waiting"),
        .workload = read_workload(fields),
    };
}

// A number that stands for one of the enumerators up to `last`.
template <class Enum>
Enum enumerator(const json_reader& fields, const char* name, Enum last)
{
    const auto number = fields.integer<std::uint8_t>(name);
    if (number > static_cast<std::uint8_t>(last)) {
        fields.fail(fmt::format("message.{}", name), "is unknown");
        return Enum{};
    }
    return static_cast<Enum>(number);
}

admission_request read_admission_request(const json_reader& fields)
{
    return {
        .gateway = fields.text("gateway"),
        .call = fields.integer<std::uint64_t>("call"),
        .intent = enumerator(fields, "intent", admission_request::purpose::cancel),
        .prompt_tokens = fields.integer<std::uint32_t>("tokens"),
        .urgency = count(fields, "urgency"),
        .aim_wait = read_ms(fields, "aim_ms"),
        .max_wait = read_ms(fields, "wait_ms"),
    };
}

admission_answer read_admission_answer(const json_reader& fields)
{
    return {
        .call = fields.integer<std::uint64_t>("call"),
        .decision = enumerator(fields, "verdict", admission_answer::verdict::refused),
        .wait = read_ms(fields, "wait_ms"),
    };
}

stream_pause read_pause(const json_reader& fields)
{
    return {.gap = read_ms(fields, "gap_ms"), .target = read_ms(fields, "target_ms")};
}

permit_request read_permit_request(const json_reader& fields)
{
    return {
        .call = fields.integer<std::uint64_t>("call"),
        .upstream = upstream_id(fields.text("upstream")),
        .process_start_ms = fields.integer<std::uint64_t>("born"),
        .rate_per_s = static_cast<double>(fields.integer<std::uint32_t>("rate_milli")) / milli,
        .has_ended = fields.flag("ended"),
        .age = read_ms(fields, "age_ms"),
    };
}

permit_answer read_permit_answer(const json_reader& fields)
{
    return {
        .call = fields.integer<std::uint64_t>("call"),
        .is_granted = fields.flag("granted"),
        .has_ended = fields.flag("ended"),
        .wait = read_ms(fields, "wait_ms"),
    };
}

origin_answer read_origin_answer(const json_reader& fields)
{
    origin_answer content{
        .number = fields.integer<std::uint64_t>("number"),
        .key = read_key(fields),
        .origin = std::nullopt,
    };
    if (fields.has("service")) {
        content.origin = read_origin(fields);
    }
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
    if (!is_shallow_utf8(*value, max_depth)) {
        return absl::InvalidArgumentError("message: must be UTF-8 and shallow");
    }
    absl::Status status;
    const json_reader fields(*value, "message", status);
    if (fields.integer<unsigned>("protocol") != protocol_version) {
        return absl::InvalidArgumentError("unsupported protocol version");
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
    else if (type == "alive") {
        content = read_heartbeat(fields);
    }
    else if (type == "admit") {
        content = read_admission_request(fields);
    }
    else if (type == "admission") {
        content = read_admission_answer(fields);
    }
    else if (type == "pause") {
        content = read_pause(fields);
    }
    else if (type == "permit") {
        content = read_permit_request(fields);
    }
    else if (type == "permitted") {
        content = read_permit_answer(fields);
    }
    else if (type == "began") {
        content = origin_record{read_key(fields), read_origin(fields)};
    }
    else if (type == "origin") {
        content = origin_question{fields.integer<std::uint64_t>("number"), read_key(fields)};
    }
    else if (type == "origin_is") {
        content = read_origin_answer(fields);
    }
    else if (type == "crashes") {
        const auto suspects = value->find("suspects");
        auto digest = poison::decode_suspect_digest(suspects == value->end() ? json() : *suspects);
        if (!digest.ok()) {
            return digest.status();
        }
        content = crash_findings{*std::move(digest)};
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
