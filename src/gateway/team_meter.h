#pragma once

#include "gateway/fleet_config.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace snipespar::control {
struct gateway_usage;
}

namespace snipespar::gateway {

/// Keeps every team within its rate and burst over all gateways together. Each gateway has a token
/// bucket a team that holds the whole rate; what the other gateways admit is taken out of it as
/// they report it. The sum can exceed the limit by what is admitted during one report interval and
/// by one call for each gateway.
///
/// While some gateway that was heard of lately is silent, its last known use is assumed to go on.
class team_meter {
public:
    /// `start` is the number of this process's start; peers with a higher one began later.
    explicit team_meter(std::uint64_t start) : start_(start) {}

    /// Takes over the limits of a configuration. A lower limit applies at once.
    void set_limits(const fleet_config& config, time_point now);

    /// Takes `tokens` for a team. Returns nothing when they were granted, or else the time after
    /// which they are expected to be there.
    std::optional<duration> take(const team_id& team, std::uint64_t tokens, time_point now);

    /// Takes what another gateway has admitted since its last report out of the buckets.
    void on_usage(const control::gateway_usage& usage, time_point now);

    /// Charges silent gateways with their last known use, and forgets those that are gone.
    void on_tick(time_point now);

    /// Tokens admitted here since the start, by team.
    const std::map<std::string, std::uint64_t>& admitted() const { return admitted_; }

private:
    struct bucket {
        double rate_per_s = 0;
        double capacity = 0;
        double level = 0;
        time_point refilled;
    };
    struct peer_team {
        std::uint64_t total = 0;
        /// Use in tokens a second, smoothed.
        double rate = 0;
    };
    struct peer {
        std::uint64_t start = 0;
        std::uint64_t sequence = 0;
        time_point heard;
        /// Until when its assumed use has been charged.
        time_point charged;
        std::map<std::string, peer_team> teams;
    };

    static void refill(bucket& item, time_point now);
    static void charge(bucket& item, double tokens);

    std::uint64_t start_;
    std::map<std::string, bucket> buckets_;
    std::map<std::string, peer> peers_;
    std::map<std::string, std::uint64_t> admitted_;
};

} // namespace snipespar::gateway
