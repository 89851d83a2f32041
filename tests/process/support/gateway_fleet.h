#pragma once

#include "cli/endpoint.h"
#include "process/support/child_process.h"
#include "process/support/tcp_cutter.h"
#include "support/http_probe.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace snipespar::testing {

/// Composition of a gateway fleet.
struct gateway_fleet_options {
    std::size_t gateways = 2;
    std::size_t engines = 2;
    std::size_t services = 2;
    /// Puts a relay between the gateways and the platform's store.
    bool has_store_relay = false;
    /// Only the first gateway is behind that relay.
    bool relays_first_gateway_only = false;
    /// Entries of upstreams state their process start.
    bool states_process_start = false;
    /// Software version of each engine, which marks the events of its streams. Without one, engines
    /// have the same version and set no mark.
    std::vector<std::string> software = {};
    /// Added to the command line of each gateway.
    std::vector<std::string> gateway_arguments = {};
    /// Added to the command line of each sidecar.
    std::vector<std::string> sidecar_arguments = {};
};

/// A program of the fleet that can be restarted with its arguments.
struct fleet_member {
    std::string id;
    program_start start;
    cli::endpoint address;
    cli::endpoint admin;
    /// Software version that the entry of an upstream states.
    std::string software = "v1";
    std::unique_ptr<child_process> process;

    void restart() { process = std::make_unique<child_process>(start); }
};

/// Gateways and sidecars as real processes on loopback, each with its own IP address, in front of
/// stand-ins for the users' platform. The initial configuration has the services `llm` (adapters of
/// the model `base`) and `desk`, the team `shops` (keys `key-1` and `key-2`), and the routes
/// `/stream/` (resumable), `/unsafe/` and `/safe/` of the host `a.example`. All processes end with
/// the object.
class gateway_fleet {
public:
    explicit gateway_fleet(const gateway_fleet_options& options = {});
    gateway_fleet(const gateway_fleet&) = delete;
    gateway_fleet& operator=(const gateway_fleet&) = delete;
    ~gateway_fleet();

    /// Waits until every gateway is ready; false on timeout.
    bool wait_until_ready();

    /// One request of the team, with the header fields that the platform's callers send.
    http_call make_call(const std::string& path, const std::string& id) const;

    /// Writes the configuration with a higher version; `edit` may change it first.
    template <class Edit>
    bool change_config(Edit edit)
    {
        config_["version"] = config_["version"].get<std::uint64_t>() + 3;
        edit(config_);
        return put("config", "main", config_, false);
    }

    /// Adds this many routes to the configuration, about 200 bytes each.
    bool add_routes(std::size_t count);

    /// Version of the configuration that was written last.
    std::uint64_t config_version() const;

    /// Version that the gateway uses; 0 if it has none or does not answer.
    static std::uint64_t config_version_of(const fleet_member& gateway);

    /// Writes an upstream to the server list, as ready or draining.
    bool announce(const fleet_member& upstream, const std::string& service, bool is_draining);
    bool withdraw(const fleet_member& upstream);

    /// Announces a version of an adapter of the model `base`.
    bool announce_version(const std::string& adapter, std::uint64_t version);

    /// Runs of a stand-in: its response to `GET /runs`.
    nlohmann::json runs(const fleet_member& upstream) const;

    std::vector<fleet_member> gateways;
    std::vector<fleet_member> sidecars;
    std::vector<fleet_member> engines;
    std::vector<fleet_member> services;
    fleet_member store;
    std::unique_ptr<tcp_cutter> store_relay;

private:
    bool put(const std::string& kind, const std::string& name, const nlohmann::json& content,
             bool is_new);
    void start_upstreams(const gateway_fleet_options& options);
    void start_gateways(const gateway_fleet_options& options);

    cli::endpoint platform_;
    std::uint16_t control_port_ = 0;
    bool states_process_start_ = false;
    nlohmann::json config_;
};

} // namespace snipespar::testing
