#pragma once

#include "agent/work_item.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace snipespar::agent {

/// A queued request with the time at which it came.
struct waiting_item {
    work_item item;
    time_point arrived;

    friend bool operator==(const waiting_item&, const waiting_item&) = default;
};

/// Start-time weighted fair queueing of requests by team, in tokens.
///
/// The backlogged team with the lowest virtual start goes next; its start then rises by the
/// request's tokens divided by the team's weight. Within a team the oldest request that can run
/// goes first, so requests that wait for the same adapter run together once it is there. The
/// queue is bounded: where it is full, the team with the longest backlog for its weight loses its
/// newest request, so a team's flood never displaces another team's work.
class fair_queue {
public:
    /// Holds at most `capacity` requests, at least one.
    explicit fair_queue(std::size_t capacity);

    /// Adds a request. Returns the one that found no room, which may be the same.
    std::optional<work_item> push(work_item item, time_point now);

    /// The request that goes next among those that `runnable` accepts; null if there is none.
    template <std::predicate<const work_item&> Runnable>
    const work_item* next(Runnable runnable) const
    {
        const work_item* chosen = nullptr;
        double lowest_start = 0;
        for (const auto& [id, entry] : teams_) {
            if (chosen != nullptr && entry.start >= lowest_start) {
                continue;
            }
            const auto found = std::ranges::find_if(
                entry.waiting, [&](const auto& waiting) { return runnable(waiting.item); });
            if (found != entry.waiting.end()) {
                chosen = &found->item;
                lowest_start = entry.start;
            }
        }
        return chosen;
    }

    /// Removes a queued request that now runs, and charges its team for it.
    work_item take(request_number id);

    /// Removes a queued request without charge; returns whether it was there.
    bool erase(request_number id);

    /// Corrects the charge of a request that ended with other tokens than were reserved.
    void settle(const team_id& team, std::uint64_t charged, std::uint64_t used);

    /// Every queued request, in the order in which they would run if all could.
    std::vector<waiting_item> in_fair_order() const;

    /// Tokens that would run before a new request of the team.
    double tokens_ahead(const team_id& team, double weight) const;

    /// Tokens of all queued requests.
    double queued_tokens() const;

    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }

private:
    struct team_entry {
        double weight = 1.0;
        /// Virtual time at which the team's next request starts.
        double start = 0;
        std::uint64_t queued_tokens = 0;
        std::deque<waiting_item> waiting;
    };

    using team_map = std::map<team_id, team_entry>;

    team_map::iterator longest_backlog();
    std::pair<team_map::iterator, std::deque<waiting_item>::iterator> find(request_number id);
    void forget_idle_teams();

    std::size_t capacity_;
    std::size_t size_ = 0;
    double virtual_time_ = 0;
    team_map teams_;
};

} // namespace snipespar::agent
