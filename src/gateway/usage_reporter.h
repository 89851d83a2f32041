#pragma once

#include "snipespar/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace snipespar::gateway {

/// Total tokens by team, as stated by one report.
struct usage_statement {
    std::map<std::string, std::uint64_t> team_tokens;
    /// All teams with any use are stated.
    bool is_complete = false;
    /// Longest time until the next report.
    duration next_within{};

    friend bool operator==(const usage_statement&, const usage_statement&) = default;
};

/// How quickly the other gateways need a report.
enum class usage_urgency {
    none,
    /// The use of some team is near its limit.
    busy,
    /// The use of some team has grown so fast that its limit could be exceeded unnoticed.
    surge,
};

/// Decides when a gateway reports its team usage to the other gateways, and which teams a report
/// states.
///
/// Every report goes to every gateway, so that the interval grows with their number: what one of
/// them receives stays bounded. A report states when the next one follows at the latest, so that a
/// gateway that is cut off is noticed the sooner the more it is used. A report states the teams
/// whose use has changed lately; every few reports state all teams, for gateways that have just
/// started.
class usage_reporter {
public:
    /// Returns what to report now, or nothing if no report is due. `admitted`: total tokens by
    /// team.
    std::optional<usage_statement> next(const std::map<std::string, std::uint64_t>& admitted,
                                        usage_urgency urgency, int gateways, time_point now);

    /// Totals of the last report, also of the teams that it did not repeat.
    const std::map<std::string, std::uint64_t>& stated() const { return stated_; }

    /// Makes the next report due immediately.
    void expedite() { sent_at_.reset(); }

    /// Longest time between two reports in a fleet of this size.
    static duration idle_interval(int gateways);

private:
    struct reported_total {
        std::uint64_t total = 0;
        /// Reports that have stated this total.
        int repeats = 0;
    };

    std::optional<time_point> sent_at_;
    /// As stated by the last report.
    duration next_within_{};
    std::uint64_t reports_ = 0;
    std::map<std::string, reported_total> reported_;
    std::map<std::string, std::uint64_t> stated_;
};

} // namespace snipespar::gateway
