#pragma once

#include "cli/endpoint.h"
#include "process/support/child_process.h"
#include "support/http_probe.h"

#include <cstddef>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace snipespar::testing {

/// Composition of a fleet. Argument lists are appended to the fleet's default arguments.
struct fleet_options {
    std::size_t entries = 1;
    std::size_t engines = 1;
    std::size_t services = 0;
    std::vector<std::string> entry_arguments;
    std::vector<std::string> agent_arguments;
    std::vector<std::string> engine_arguments;
    /// Software version of each engine, which its tokens end with; empty for one without marks.
    std::vector<std::string> engine_software;
    /// Replaces the fleet's secret in the agents, to test a wrong one.
    std::string agent_secret;
};

/// One upstream with its agent.
struct upstream_pair {
    std::string id;
    std::unique_ptr<child_process> upstream;
    cli::endpoint upstream_address;
    std::unique_ptr<child_process> agent;
    program_start agent_start;
    cli::endpoint agent_address;
    cli::endpoint agent_admin;
};

/// One entry.
struct entry_process {
    std::unique_ptr<child_process> process;
    program_start start;
    cli::endpoint address;
    cli::endpoint admin;
};

/// Real processes of the project on loopback, with a document that has two teams (`north` and
/// `south`, keys `trial-north` and `trial-south`), adapters `a1` and `a2` (version `v1` and `v2` of
/// `a1` for `north`, `v1` of `a2` for `south`), a third team `narrow` with 100 tokens a second and
/// a burst of 200 that may call `v1` of `a1`, and the routes `/stock` (only GET is idempotent) and
/// `/open` (no key required). All processes end with the object.
class fleet {
public:
    /// Starts all processes without waiting for them; see `wait_until_ready`.
    explicit fleet(const fleet_options& options = {});
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    ~fleet();

    /// Waits until every upstream is reachable through every entry; false on timeout.
    bool wait_until_ready();

    entry_process& entry(std::size_t index = 0) { return entries_.at(index); }
    upstream_pair& engine(std::size_t index = 0) { return engines_.at(index); }
    upstream_pair& service(std::size_t index = 0) { return services_.at(index); }
    std::size_t engines() const { return engines_.size(); }

    /// Restarts an agent or an entry with its original arguments.
    void restart_agent(upstream_pair& pair);
    void restart_entry(entry_process& entry);

    /// Output of all processes of the project, for failure messages and searches.
    std::string output() const;

private:
    upstream_pair start_upstream(const std::string& id, const std::string& program,
                                 const std::vector<std::string>& arguments);
    void write_document() const;
    std::string document() const;

    fleet_options options_;
    std::filesystem::path folder_;
    std::vector<upstream_pair> engines_;
    std::vector<upstream_pair> services_;
    std::vector<entry_process> entries_;
};

/// A completion request as a caller sends it, with a key.
http_call completion_call(const std::string& key, const std::string& model, int max_tokens,
                          bool stream = false);

} // namespace snipespar::testing
