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

/// Keeps every team within its rate and burst summed over all gateways. Each gateway has one token
/// bucket per team with the whole rate; tokens that other gateways report as admitted are charged
/// to it. The sum can exceed the limit by the tokens admitted during one report interval and by one
/// call per gateway; the excess is paid back from the rate.
///
/// A gateway whose reports stop without a farewell may be serving behind a cut, where it does not
/// hear of this one's use either. Each side then has the limit in proportion to the gateways that
/// it hears, so that the sides together keep it; what was assumed of a gateway is replaced by what
/// it reports once it is heard again.
class team_meter {
public:
    /// `start`: start number of this process; peers with a higher one started later.
    explicit team_meter(std::uint64_t start) : start_(start) {}

    /// Sets the limits of a configuration. A lower limit applies immediately.
    void set_limits(const fleet_config& config, time_point now);

    /// Charges `tokens` to a team. Returns nothing if they were granted, otherwise the time after
    /// which they are expected to be available.
    std::optional<duration> admit(const team_id& team, std::uint64_t tokens, time_point now);

    /// Returns the tokens of a call that was admitted and has not run.
    void refund(const team_id& team, std::uint64_t tokens, time_point now);

    /// This process stood still until `now`, as when its host was frozen: what others admitted
    /// meanwhile is not known, so that no team has more than its rate from now on.
    void on_resumed(time_point now);

    /// Whether the tokens admitted since the last report, as stated by it, could matter if every
    /// gateway had as many unreported.
    bool has_surge(const std::map<std::string, std::uint64_t>& stated, int gateways) const;

    /// Whether some team has used up more than half of its burst.
    bool has_busy_team(time_point now) const;

    /// Charges the tokens that another gateway has admitted since its last report.
    void on_usage(const control::gateway_usage& usage, time_point now);

    /// Notices unresponsive gateways, and forgets those that have been for long.
    void on_tick(time_point now);

    /// Share of the limits that this gateway and those it hears may grant: 1 unless gateways are
    /// missing.
    double share() const { return share_; }

    /// Tokens admitted by this process and not refunded, by team.
    const std::map<std::string, std::uint64_t>& admitted() const { return admitted_; }

private:
    struct bucket {
        /// Of the whole fleet.
        double rate_per_s = 0;
        double capacity = 0;
        double level = 0;
        time_point refilled;
        /// Tokens charged lately; decays exponentially.
        double recent_use = 0;
    };
    struct peer {
        std::uint64_t start = 0;
        std::uint64_t sequence = 0;
        time_point last_report_at;
        /// Longest time until its next report.
        duration report_interval{};
        /// Its next totals are not charged.
        bool is_baseline_due = false;
        /// Its reports have stopped.
        bool is_missing = false;
        /// A team that is not in `totals` had no use at its last report.
        bool is_complete = false;
        std::map<std::string, std::uint64_t> totals;
    };

    void refill(bucket& item, time_point now) const;
    void charge(bucket& item, double tokens, double lowest_level) const;

    /// Share of the limits that this gateway may grant together with those that it hears.
    double present_share() const;

    /// Applies a change of the share. `silence`: longest time since a report of those that have
    /// just gone missing.
    void update_share(duration silence, time_point now);

    std::uint64_t start_;
    std::map<std::string, bucket> buckets_;
    std::map<std::string, peer> peers_;
    /// The present share, as applied to the buckets.
    double share_ = 1;
    std::map<std::string, std::uint64_t> admitted_;
};

} // namespace snipespar::gateway
