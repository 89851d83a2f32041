#pragma once

#include "config/freshness_report.h"
#include "config/member.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace snipespar::config {

/// Decides whether a process may go on admitting requests under its active version. It may while
/// one of two observations of that version is younger than the bound:
///
///  - confirmed: a process found the version to be the accepted one at the platform;
///  - outage: a majority of the members, at least two and in a majority of the failure domains,
///    could not reach the platform and knew of no newer version.
///
/// Observations pass from process to process with their age, which relaying never resets. An
/// isolated process therefore stops after the bound, while a full platform outage stops none.
class freshness {
public:
    explicit freshness(duration bound) : bound_(bound) {}

    /// Sets the processes that call the platform, including this one if it does.
    void set_members(std::vector<member> members) { members_ = std::move(members); }

    /// Changes the active version; never to a lower one.
    void set_active_version(std::uint64_t version);

    /// The platform returned `version` as accepted in response to a call sent at `sent`.
    void on_platform_response(std::uint64_t version, time_point sent);

    /// A call of this process to the platform failed; at `now` it still had no response.
    void on_platform_failure(const host_id& self, time_point now);

    /// A report arrived in response to a query sent at `sent`. Its ages count from the query, not
    /// from the arrival, so that network delay makes an observation older, never younger.
    void on_report(const host_id& sender, const freshness_report& report, time_point sent);

    /// Whether new requests may be admitted now.
    bool may_admit(time_point now) const { return now < admits_until(); }

    /// When admission ends unless a newer observation arrives.
    time_point admits_until() const;

    std::uint64_t newest_known() const { return newest_known_; }

    /// The report that this process sends to others.
    freshness_report report(time_point now) const;

private:
    struct platform_failure {
        std::uint64_t newest_known = 0;
        time_point at;
    };

    void confirm(std::uint64_t version, time_point at);
    std::optional<time_point> outage_observed_at() const;
    bool is_majority(const std::vector<member>& affected) const;

    duration bound_;
    std::vector<member> members_;
    std::uint64_t active_version_ = 0;
    std::uint64_t newest_known_ = 0;
    std::map<std::uint64_t, time_point> confirmed_;
    std::map<std::uint64_t, time_point> relayed_outage_;
    std::map<host_id, platform_failure> platform_failures_;
    std::optional<time_point> own_failure_;
};

} // namespace snipespar::config
