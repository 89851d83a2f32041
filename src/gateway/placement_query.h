#pragma once

#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <set>
#include <string>

namespace snipespar::gateway {

/// Requirements of a call on the upstream that runs it.
struct placement_query {
    std::string service;
    /// `model/adapter`; empty if the call needs no adapter.
    std::string adapter;
    std::string model;
    /// Lowest acceptable version of the adapter.
    std::uint64_t min_version = 0;
    /// Upstreams that must not be chosen, such as those already tried.
    std::set<upstream_id> excluded;
    /// Share of this gateway's calls that use the adapter, 0 to 1.
    double share = 0;
    /// Hash of the prompt parts that the call shares with its session, and their token count.
    std::uint64_t session = 0;
    std::uint64_t shared_tokens = 0;
    /// Whether the adapter may be loaded on further engines for the call.
    bool may_load = true;
    /// Whether the call may ask for a permit, which upstreams with a request rate need.
    bool may_ask_for_permit = true;
    /// The software version that began the stream; empty if any can run the call.
    std::string software = {};
    /// Route of the call; what plain calls cost is learned by it.
    std::string route = {};
    /// Time to the first event, or to the complete response, that the caller expects.
    duration aim{};
    /// What a plain call needs beside, where upstreams state their load (`plain_chooser::need`).
    time_point wanted_by = time_point::max();
    bool needs_room = false;
    /// Prompt of the call, which an engine has to read.
    std::uint64_t prompt_tokens = 0;
};

} // namespace snipespar::gateway
