#pragma once

namespace snipespar::gateway {

/// When a call would finish at one upstream, as far as a gateway can tell.
struct finish_forecast {
    /// Until one of its slots is free, in seconds.
    double wait_s = 0;
    /// Time the call takes from then on, in seconds.
    double run_s = 0;
    /// Calls that it has to run or runs, those of other gateways included.
    double backlog = 0;
    /// Calls that it runs concurrently.
    double slots = 1;
    /// Calls that it completes each second while all of its slots are taken.
    double rate_per_s = 0;
    /// Whether the upstream has lately stated that calls wait there.
    bool states_queue = false;

    double finish_s() const { return wait_s + run_s; }
    bool has_free_slot() const { return backlog < slots; }

    friend bool operator==(const finish_forecast&, const finish_forecast&) = default;
};

} // namespace snipespar::gateway
