#include "process/support/gateway_fleet.h"

#include "process/support/free_port.h"
#include "process/support/wait_until.h"

#include <fmt/format.h>

namespace snipespar::testing {

namespace {

using nlohmann::json;

json first_config()
{
    return json::parse(R"({
        "version": 3,
        "routes": [
            {"name": "stream", "host": "a.example", "path_prefix": "/stream/",
             "route_type": "streaming", "timeout_ms": 20000, "target_latency_ms": 5000,
             "priority": 0, "max_attempts": 3, "upstream": "llm", "public": false,
             "resumable": true, "gap_aim_ms": 5000},
            {"name": "unsafe", "host": "a.example", "path_prefix": "/unsafe/",
             "route_type": "unsafe", "timeout_ms": 20000, "target_latency_ms": 5000,
             "priority": 2, "max_attempts": 1, "upstream": "desk", "public": false},
            {"name": "safe", "host": "a.example", "path_prefix": "/safe/",
             "route_type": "safe", "timeout_ms": 20000, "target_latency_ms": 5000,
             "priority": 2, "max_attempts": 3, "upstream": "desk", "public": false}],
        "upstreams": [
            {"name": "llm", "health_check": "/health", "max_connections": 300,
             "engine": {"slots": 64, "kv_capacity": 100000, "adapter_slots": 4,
                        "models": [{"name": "base", "adapters": 40}]}},
            {"name": "desk", "health_check": "/health", "max_connections": 300}],
        "limits": {"max_header_bytes": 4096, "max_body_bytes": 65536,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "shops", "api_keys": ["key-1", "key-2"], "priority": 1,
                     "plain_tokens": 200, "rate_per_s": 10000000, "burst": 10000000}]})");
}

} // namespace

gateway_fleet::gateway_fleet(const gateway_fleet_options& options)
    : control_port_(free_address().port), states_process_start_(options.states_process_start),
      config_(first_config())
{
    store.address = free_address();
    store.start = {"users_platform_stand_in", {"store", store.address.str()}, {}};
    store.restart();
    store.process->wait_for_output("listening");
    platform_ = store.address;
    if (options.has_store_relay) {
        store_relay = std::make_unique<tcp_cutter>(store.address);
        platform_ = store_relay->address();
    }
    put("config", "main", config_, true);
    start_upstreams(options);
    start_gateways(options);
}

gateway_fleet::~gateway_fleet() = default;

void gateway_fleet::start_upstreams(const gateway_fleet_options& options)
{
    for (std::size_t i = 0; i < options.engines + options.services; ++i) {
        const bool is_engine = i < options.engines;
        fleet_member member;
        member.id = fmt::format("i-{}", i);
        member.address = {fmt::format("127.0.2.{}", i + 1), free_address().port};
        member.start = {"users_platform_stand_in",
                        {is_engine ? "engine" : "service", member.address.str(), member.id},
                        {}};
        if (is_engine && i < options.software.size()) {
            member.software = options.software[i];
            member.start.arguments.push_back(member.software);
        }
        member.restart();
        member.process->wait_for_output("listening");
        announce(member, is_engine ? "llm" : "desk", false);
        if (is_engine) {
            fleet_member sidecar;
            sidecar.id = fmt::format("side-{}", i);
            sidecar.address = {member.address.ip, control_port_};
            sidecar.admin = {member.address.ip, free_address().port};
            sidecar.start = {"snipespar",
                             {"sidecar", "--control-listen=" + sidecar.address.str(),
                              "--admin-listen=" + sidecar.admin.str(),
                              "--engine=" + member.address.str(), "--host=" + sidecar.id},
                             {}};
            sidecar.start.arguments.insert(sidecar.start.arguments.end(),
                                           options.sidecar_arguments.begin(),
                                           options.sidecar_arguments.end());
            sidecar.restart();
            sidecars.push_back(std::move(sidecar));
        }
        (is_engine ? engines : services).push_back(std::move(member));
    }
}

void gateway_fleet::start_gateways(const gateway_fleet_options& options)
{
    for (std::size_t i = 0; i < options.gateways; ++i) {
        fleet_member gateway;
        gateway.id = fmt::format("front-{}", i);
        const bool is_relayed = i == 0 || !options.relays_first_gateway_only;
        const auto ip = fmt::format("127.0.1.{}", i + 1);
        gateway.address = {ip, free_address().port};
        gateway.admin = {ip, free_address().port};
        gateway.start = {"snipespar",
                         {"gateway", "--listen=" + gateway.address.str(),
                          "--admin-listen=" + gateway.admin.str(),
                          fmt::format("--control-listen={}:{}", ip, control_port_),
                          "--platform=" + (is_relayed ? platform_ : store.address).str(),
                          "--host=" + gateway.id, "--failure-domain=a", "--seed=1"},
                         {{"SNIPESPAR_NODE_FILE", "/nowhere"}}};
        gateway.start.arguments.insert(gateway.start.arguments.end(),
                                       options.gateway_arguments.begin(),
                                       options.gateway_arguments.end());
        gateway.restart();
        gateways.push_back(std::move(gateway));
    }
}

bool gateway_fleet::wait_until_ready()
{
    for (const auto& gateway : gateways) {
        const bool is_ready = wait_until([&] {
            const auto reply = send_call(gateway.admin, {"GET", "/ready", {}, {}});
            return reply.ok() && reply->status == 200;
        });
        if (!is_ready) {
            return false;
        }
    }
    return true;
}

http_call gateway_fleet::make_call(const std::string& path, const std::string& id) const
{
    http_call call;
    call.method = "POST";
    call.target = path;
    call.headers = {{"Host", "a.example"},
                    {"Request-Id", id},
                    {"Deadline-Ms", "20000"},
                    {"Authorization", "Token key-1"}};
    if (path.starts_with("/stream/")) {
        call.headers["Model"] = "base/a1";
        call.headers["Token-Count"] = "100,20";
    }
    call.body = "body of " + id;
    return call;
}

bool gateway_fleet::add_routes(std::size_t count)
{
    return change_config([count](json& config) {
        const auto first = config["routes"].size();
        for (std::size_t i = first; i < first + count; ++i) {
            config["routes"].push_back({{"name", fmt::format("added-{}", i)},
                                        {"host", fmt::format("host-{}.example", i)},
                                        {"path_prefix", fmt::format("/added-{}/", i)},
                                        {"route_type", "safe"},
                                        {"timeout_ms", 20000},
                                        {"target_latency_ms", 5000},
                                        {"priority", 2},
                                        {"max_attempts", 3},
                                        {"upstream", "desk"},
                                        {"public", false}});
        }
    });
}

std::uint64_t gateway_fleet::config_version() const
{
    return config_["version"].get<std::uint64_t>();
}

std::uint64_t gateway_fleet::config_version_of(const fleet_member& gateway)
{
    const auto reply = send_call(gateway.admin, {"GET", "/status", {}, {}});
    return reply.ok() && reply->status == 200
               ? json::parse(reply->body)["config"].get<std::uint64_t>()
               : 0;
}

bool gateway_fleet::announce(const fleet_member& upstream, const std::string& service,
                             bool is_draining)
{
    json content{{"upstream", service}, {"address", upstream.address.str()},
                 {"zone", "a"},         {"version", upstream.software},
                 {"slots", 64},         {"state", is_draining ? "draining" : "ready"}};
    if (states_process_start_) {
        const auto report = send_call(upstream.address, {"GET", "/report", {}, {}});
        if (!report.ok()) {
            return false;
        }
        content["born"] = json::parse(report->body)["born"];
    }
    return put("servers", upstream.id, content, false);
}

bool gateway_fleet::announce_version(const std::string& adapter, std::uint64_t version)
{
    return put("versions", "base." + adapter,
               {{"model", "base"}, {"adapter", adapter}, {"version", version}}, false);
}

bool gateway_fleet::withdraw(const fleet_member& upstream)
{
    const auto reply =
        send_call(store.address, {"DELETE", "/objects/servers/" + upstream.id, {}, {}});
    return reply.ok() && reply->status == 200;
}

json gateway_fleet::runs(const fleet_member& upstream) const
{
    const auto reply = send_call(upstream.address, {"GET", "/runs", {}, {}});
    return reply.ok() ? json::parse(reply->body)
                      : json{{"runs", json::array()}, {"overfull_orders", 0}};
}

bool gateway_fleet::put(const std::string& kind, const std::string& name, const json& content,
                        bool is_new)
{
    const json object{{"metadata", {{"name", name}}}, {"spec", content}};
    const auto target = "/objects/" + kind + (is_new ? "" : "/" + name);
    const auto reply =
        send_call(store.address, {is_new ? "POST" : "PUT", target, {}, object.dump()});
    return reply.ok() && reply->status == 200;
}

} // namespace snipespar::testing
