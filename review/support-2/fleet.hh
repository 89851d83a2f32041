// A small deployment on loopback: the store, gateways and what their entries name.
#pragma once

#include "harness.hh"

#include <string>
#include <vector>

namespace review {

struct member {
    std::string host;
    endpoint listen;
    endpoint admin;
    std::vector<std::string> command;
    std::string log;
    child process;
    void start() { process = child(command, log); }
};

/// Paths that a script passes: the folder of the repository and the one of the case.
struct paths {
    std::string program;
    std::string scratch;
    std::string record;
    bool has_trouble = true;
};
paths read_paths(int argc, char** argv);

/// The bounds of a site that the deploy file passes to gateways.
struct site_bounds {
    std::string drain_ms;
    std::string grace_s;
    std::string memory_mb;
    std::string budget_slack;
};
inline const site_bounds krlp_ops{"2000", "8", "260", "58"};
inline const site_bounds serrana_assina_grown{"3000", "8", "256", "82"};

/// Starts a gateway with the command of the deploy file.
member start_gateway(const paths& where, const site_bounds& bounds, const std::string& host,
                     const std::string& domain, const std::string& ip, int control_port,
                     const endpoint& platform);

/// Starts a sidecar with the command of the deploy file.
member start_sidecar(const paths& where, const std::string& host, const std::string& ip,
                     int control_port, const endpoint& engine);

/// The entry of a worker that is ready.
std::string worker_entry(const std::string& service, const endpoint& address, int slots,
                         std::int64_t born);

std::int64_t unix_ms();

} // namespace review
