#pragma once

#include "cli/endpoint.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <string>

namespace snipespar::gateway {

/// The registry entry that an upstream advertises.
struct upstream_entry {
    /// Identifies one incarnation of the upstream.
    upstream_id id;
    std::string service;
    cli::endpoint address;
    failure_domain_id failure_domain;
    /// Calls that it runs concurrently.
    int slots = 0;
    /// It is about to stop and accepts no new work.
    bool is_draining = false;
    /// Process start in Unix milliseconds; distinguishes incarnations with the same name. 0 if not
    /// stated.
    std::uint64_t process_start_ms = 0;
    /// Version of its software, not of the weights. What two versions write does not fit together.
    /// An entry that states none has a version of its own.
    std::string software = {};
    /// Time for which it was still cold when it wrote this entry.
    duration cold_time{};

    friend bool operator==(const upstream_entry&, const upstream_entry&) = default;
};

} // namespace snipespar::gateway
