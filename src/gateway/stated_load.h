#pragma once

namespace snipespar::gateway {

/// Load that an upstream states of itself in a response, over the calls of all gateways.
struct stated_load {
    /// Calls that it runs, this one included if the response is its answer.
    int running = 0;
    /// Calls that wait for a slot.
    int waiting = 0;
    /// Calls that it runs concurrently.
    int slots = 0;
    /// How long work takes on its host at present, relative to the usual time; 1 if not stated.
    double slowdown = 1;

    friend bool operator==(const stated_load&, const stated_load&) = default;
};

} // namespace snipespar::gateway
