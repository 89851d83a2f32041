#include "config/snapshot_codec.h"

#include "base/json_reader.h"
#include "config/snapshot.h"

namespace snipespar::config {

namespace {

using json = nlohmann::json;

json to_json(const team& item)
{
    return {{"id", item.id.str()},
            {"priority", item.priority},
            {"weight", item.weight},
            {"rate_tokens_per_s", item.rate_tokens_per_s},
            {"burst_tokens", item.burst_tokens}};
}

json to_json(const api_key& item)
{
    return {{"id", item.id.str()},
            {"team", item.team.str()},
            {"sha256", item.sha256},
            {"withdrawn", item.withdrawn}};
}

json to_json(const adapter& item)
{
    json versions = json::array();
    for (const auto& version : item.versions) {
        versions.push_back({{"version", version.version}, {"source", version.source}});
    }
    json grants = json::array();
    for (const auto& grant : item.grants) {
        grants.push_back({{"team", grant.team.str()},
                          {"versions", grant.versions},
                          {"default_version", grant.default_version}});
    }
    return {{"id", item.id.str()},
            {"base_model", item.base_model},
            {"versions", std::move(versions)},
            {"grants", std::move(grants)}};
}

json to_json(const route& item)
{
    return {{"id", item.id.str()},
            {"path_prefix", item.path_prefix},
            {"service", item.service},
            {"idempotent_methods", item.idempotent_methods},
            {"open_to_all", item.open_to_all}};
}

json to_json(const upstream& item)
{
    return {{"id", item.id.str()},
            {"kind", item.kind == upstream_kind::engine ? "engine" : "service"},
            {"serves", item.serves},
            {"host", item.host.str()},
            {"failure_domain", item.failure_domain.str()},
            {"agent_address", item.agent_address},
            {"agent_port", item.agent_port},
            {"adapter_slots", item.adapter_slots},
            {"max_running", item.max_running},
            {"checks_fencing", item.checks_fencing}};
}

team read_team(const json_reader& fields)
{
    team item;
    item.id = team_id(fields.text("id"));
    item.priority = fields.text("priority");
    item.weight = fields.real("weight");
    item.rate_tokens_per_s = fields.integer<std::uint64_t>("rate_tokens_per_s");
    item.burst_tokens = fields.integer<std::uint64_t>("burst_tokens");
    if (!(item.weight > 0)) {
        fields.fail(fields.path(), "needs a positive weight");
    }
    return item;
}

api_key read_key(const json_reader& fields)
{
    return {key_id(fields.text("id")), team_id(fields.text("team")), fields.text("sha256"),
            fields.flag("withdrawn")};
}

adapter read_adapter(const json_reader& fields)
{
    adapter item;
    item.id = adapter_id(fields.text("id"));
    item.base_model = fields.text("base_model");
    fields.each("versions", [&](const json_reader& version) {
        item.versions.push_back({version.text("version"), version.text("source")});
    });
    fields.each("grants", [&](const json_reader& grant) {
        item.grants.push_back(
            {team_id(grant.text("team")), grant.texts("versions"), grant.text("default_version")});
    });
    return item;
}

route read_route(const json_reader& fields)
{
    return {route_id(fields.text("id")), fields.text("path_prefix"), fields.text("service"),
            fields.texts("idempotent_methods"), fields.flag("open_to_all")};
}

upstream read_upstream(const json_reader& fields)
{
    upstream item;
    item.id = upstream_id(fields.text("id"));
    const auto kind = fields.text("kind");
    if (kind != "engine" && kind != "service") {
        fields.fail(fields.path(), "has an unknown kind");
    }
    item.kind = kind == "engine" ? upstream_kind::engine : upstream_kind::service;
    item.serves = fields.text("serves");
    item.host = host_id(fields.text("host"));
    item.failure_domain = failure_domain_id(fields.text("failure_domain"));
    item.agent_address = fields.text("agent_address");
    item.agent_port = fields.integer<std::uint16_t>("agent_port");
    item.adapter_slots = fields.integer<std::uint32_t>("adapter_slots");
    item.max_running = fields.integer<std::uint32_t>("max_running");
    item.checks_fencing = fields.flag("checks_fencing");
    return item;
}

// The values of a map by id, as an array.
template <class Map>
json array_of(const Map& map)
{
    json list = json::array();
    for (const auto& [id, item] : map) {
        list.push_back(to_json(item));
    }
    return list;
}

// Reads an array into a map by id; a duplicate id is a fault.
template <class Map, class Read>
void read_into(Map& map, const json_reader& fields, const char* name, Read read)
{
    fields.each(name, [&](const json_reader& item_fields) {
        auto item = read(item_fields);
        const auto id = item.id;
        if (!map.emplace(id, std::move(item)).second) {
            item_fields.fail(item_fields.path(), "appears twice");
        }
    });
}

} // namespace

std::string encode(const snapshot& config)
{
    json routes = json::array();
    for (const auto& item : config.routes) {
        routes.push_back(to_json(item));
    }
    const json text = {{"version", config.version},
                       {"environment", config.environment},
                       {"teams", array_of(config.teams)},
                       {"keys", array_of(config.keys)},
                       {"adapters", array_of(config.adapters)},
                       {"routes", std::move(routes)},
                       {"upstreams", array_of(config.upstreams)},
                       {"weight_store",
                        {{"loads_per_s", config.weight_store.loads_per_s},
                         {"loads_at_once", config.weight_store.loads_at_once}}}};
    return text.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<snapshot> decode_snapshot(std::string_view text)
{
    absl::Status status;
    const auto value = json_reader::parse(text, status);
    const json_reader fields(value, "snapshot", status);
    snapshot config;
    config.version = fields.integer<std::uint64_t>("version");
    config.environment = fields.text("environment");
    read_into(config.teams, fields, "teams", read_team);
    read_into(config.keys, fields, "keys", read_key);
    read_into(config.adapters, fields, "adapters", read_adapter);
    fields.each("routes",
                [&](const json_reader& item) { config.routes.push_back(read_route(item)); });
    read_into(config.upstreams, fields, "upstreams", read_upstream);
    if (status.ok()) {
        const auto stored = value.value("weight_store", json());
        const json_reader limits(stored, "weight_store", status);
        config.weight_store.loads_per_s = limits.real("loads_per_s");
        config.weight_store.loads_at_once = limits.integer<std::uint32_t>("loads_at_once");
    }
    if (!status.ok()) {
        return status;
    }
    return config;
}

} // namespace snipespar::config
