#pragma once

#include "cli/endpoint.h"
#include "snipespar/ids.h"

#include <cstdint>
#include <string>

namespace snipespar::gateway {

/// What an upstream has announced of itself.
struct upstream_entry {
    /// Names one start of the upstream.
    upstream_id id;
    std::string service;
    cli::endpoint address;
    failure_domain_id failure_domain;
    /// Calls that it runs at once.
    int slots = 0;
    /// It is about to leave and takes no new work.
    bool is_draining = false;
    /// Unix milliseconds of its start; tells two processes under one name apart. 0 when it does not
    /// say.
    std::uint64_t process_start_ms = 0;

    friend bool operator==(const upstream_entry&, const upstream_entry&) = default;
};

} // namespace snipespar::gateway
