#pragma once

#include "gateway/finish_forecaster.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace snipespar::gateway {

struct upstream_state;

/// Chooses the plain upstream of a call by when it would finish there, where upstreams state their
/// load.
///
/// Load pattern: many gateways share a few small upstreams whose speed differs and changes. All of
/// them know the same stale loads, so that each would send its next call to the same upstream. A
/// call is therefore drawn at random, with the shares that would let all upstreams finish at the
/// same time if every gateway drew like this during the time of one call.
class plain_chooser {
public:
    /// What a call needs.
    struct need {
        std::string route;
        /// Time within which its callers want an answer.
        duration aim{};
        /// An answer after that is of no use, or of less use than one to a caller that comes back.
        time_point wanted_by;
        /// An upstream has turned it away already: only one with room is tried.
        bool needs_room = false;
        /// Number of gateways that share the upstreams.
        int gateways = 1;
    };

    /// The choice for one call.
    struct choice {
        /// Null if none can finish the call in time.
        const upstream_state* upstream = nullptr;
        /// The forecast for it, or that of the upstream which would finish first.
        finish_forecast forecast;
        /// If there is none: when a call sent then would finish in time, and how many calls the
        /// upstreams complete each second.
        time_point opens_at;
        double rate_per_s = 0;
    };

    /// One upstream to which a call may go.
    struct option {
        const upstream_state* upstream = nullptr;
        finish_forecast forecast;
        /// Expected time to finish, with its penalties; `slope_s` more with each further call.
        double finish_s = 0;
        double slope_s = 0;
        /// Share of the calls that goes there, relative to the other options.
        double share = 0;
    };

    /// All upstreams as the draw for one call finds them.
    struct weighing {
        /// Those among which the call is drawn, the one that finishes first first.
        std::vector<option> options;
        /// Those that are forecast to finish too late, or have no room.
        std::vector<option> unfit;
        /// Calls that all of them complete each second.
        double rate_per_s = 0;
    };

    explicit plain_chooser(failure_domain_id own_domain) : own_domain_(std::move(own_domain)) {}

    /// `candidates`: one or more upstreams of one service. Nothing if too few of them state their
    /// load, so that the choice has to be made otherwise.
    std::optional<choice> choose(const need& call,
                                 const std::vector<const upstream_state*>& candidates,
                                 std::mt19937_64& random, time_point now) const;

    /// What `choose` draws from.
    std::optional<weighing> weigh(const need& call,
                                  const std::vector<const upstream_state*>& candidates,
                                  time_point now) const;

    finish_forecaster& forecaster() { return forecaster_; }
    const finish_forecaster& forecaster() const { return forecaster_; }

private:
    failure_domain_id own_domain_;
    finish_forecaster forecaster_;
};

} // namespace snipespar::gateway
