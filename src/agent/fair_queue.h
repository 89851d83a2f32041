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

/// A queued request and its arrival time.
struct waiting_item {
    work_item item;
    time_point arrived;

    friend bool operator==(const waiting_item&, const waiting_item&) = default;
};

/// Start-time weighted fair queueing of requests by team, in tokens.
///
/// The backlogged team with the lowest virtual start time is served next; its start time then
/// advances by the request's tokens divided by the team's weight. Within a team the oldest
/// runnable request goes first, so requests waiting for the same adapter run together once it is
/// resident. The queue is bounded: when it overflows, the team with the longest backlog relative
/// to its weight loses its newest request, so one team's burst never displaces another's requests.
class fair_queue {
public:
    /// `capacity` is the maximum number of queued requests; at least one.
    explicit fair_queue(std::size_t capacity);

    /// Adds a request. Returns the one that was displaced, if any, which may be the same.
    std::optional<work_item> push(work_item item, time_point now);

    /// The next request among those that `runnable` accepts; null if there is none.
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

    /// Removes a request that starts to run, and charges its team for it.
    work_item dequeue(request_number id);

    /// Removes a queued request without charge; returns whether it was found.
    bool erase(request_number id);

    /// Corrects the charge of a request that used a different number of tokens than reserved.
    void adjust_charge(const team_id& team, std::uint64_t charged, std::uint64_t used);

    /// All queued requests, in the order in which they would run if all were runnable.
    std::vector<waiting_item> in_fair_order() const;

    /// Tokens that would be served before a new request of the team.
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
    void erase_idle_teams();

    std::size_t capacity_;
    std::size_t size_ = 0;
    double virtual_time_ = 0;
    team_map teams_;
};

} // namespace snipespar::agent
