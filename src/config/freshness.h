#pragma once

#include "config/freshness_report.h"
#include "config/member.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace snipespar::config {

/// Decides whether a process may go on admitting requests under the version it holds. It may while
/// one of two facts about that version is younger than the bound:
///
///  - confirmed: somebody found the version to be the accepted one at the platform;
///  - outage: a majority of the members, in a majority of the failure domains and at least two,
///  were
///    without the platform and knew of no newer version.
///
/// Facts pass from process to process with their age and are never renewed on the way. So a process
/// cut off alone stops after the bound, and an outage for everybody stops nobody.
class freshness {
public:
    explicit freshness(duration bound) : bound_(bound) {}

    /// The processes that call the platform, this one among them if it does.
    void set_members(std::vector<member> members) { members_ = std::move(members); }

    /// Changes the version that the process holds; never lower.
    void hold(std::uint64_t version);

    /// The platform showed `version` as accepted in answer to a call sent at `sent`.
    void on_platform_answer(std::uint64_t version, time_point sent);

    /// A call of this process to the platform failed; at `now` it still had no answer.
    void on_platform_failure(const host_id& self, time_point now);

    /// A report arrived in answer to a query sent at `sent`. Counting its ages from the query, not
    /// from the arrival, makes a message that was delayed on the way older, never younger.
    void on_report(const host_id& sender, const freshness_report& report, time_point sent);

    /// Whether new requests may be admitted now.
    bool may_admit(time_point now) const { return now < admits_until(); }

    /// The moment at which admission ends unless a newer fact arrives.
    time_point admits_until() const;

    std::uint64_t newest_known() const { return newest_known_; }

    /// What this process tells others.
    freshness_report report(time_point now) const;

private:
    struct sighting {
        std::uint64_t newest_known = 0;
        time_point at;
    };

    void confirm(std::uint64_t version, time_point at);
    std::optional<time_point> outage_at() const;
    bool is_majority(const std::vector<member>& present) const;

    duration bound_;
    std::vector<member> members_;
    std::uint64_t held_ = 0;
    std::uint64_t newest_known_ = 0;
    std::map<std::uint64_t, time_point> confirmed_;
    std::map<std::uint64_t, time_point> relayed_outage_;
    std::map<host_id, sighting> without_platform_;
    std::optional<time_point> own_failure_;
};

} // namespace snipespar::config
