#include "agent/fair_queue.h"

#include <cassert>

namespace snipespar::agent {

namespace {

// Number of teams above which those without backlog or debt are erased.
constexpr std::size_t max_idle_teams = 64;

} // namespace

fair_queue::fair_queue(std::size_t capacity) : capacity_(std::max<std::size_t>(capacity, 1)) {}

std::optional<work_item> fair_queue::push(work_item item, time_point now)
{
    assert(item.weight > 0);
    erase_idle_teams();
    auto& entry = teams_[item.team];
    entry.weight = item.weight;
    if (entry.waiting.empty()) {
        entry.start = std::max(entry.start, virtual_time_);
    }
    entry.queued_tokens += item.cost();
    entry.waiting.push_back({std::move(item), now});
    ++size_;
    if (size_ <= capacity_) {
        return std::nullopt;
    }
    auto& longest = longest_backlog()->second;
    work_item displaced = std::move(longest.waiting.back().item);
    longest.waiting.pop_back();
    longest.queued_tokens -= displaced.cost();
    --size_;
    return displaced;
}

work_item fair_queue::dequeue(request_number id)
{
    const auto [team, position] = find(id);
    assert(team != teams_.end());
    auto& entry = team->second;
    work_item item = std::move(position->item);
    entry.waiting.erase(position);
    entry.queued_tokens -= item.cost();
    --size_;
    virtual_time_ = std::max(virtual_time_, entry.start);
    entry.start += static_cast<double>(item.cost()) / entry.weight;
    return item;
}

bool fair_queue::erase(request_number id)
{
    const auto [team, position] = find(id);
    if (team == teams_.end()) {
        return false;
    }
    team->second.queued_tokens -= position->item.cost();
    team->second.waiting.erase(position);
    --size_;
    return true;
}

void fair_queue::adjust_charge(const team_id& team, std::uint64_t charged, std::uint64_t used)
{
    const auto found = teams_.find(team);
    if (found != teams_.end()) {
        const double unused = static_cast<double>(charged) - static_cast<double>(used);
        found->second.start -= unused / found->second.weight;
    }
}

std::vector<waiting_item> fair_queue::in_fair_order() const
{
    std::vector<std::pair<double, const waiting_item*>> order;
    order.reserve(size_);
    for (const auto& [id, entry] : teams_) {
        double start = entry.start;
        for (const auto& waiting : entry.waiting) {
            order.emplace_back(start, &waiting);
            start += static_cast<double>(waiting.item.cost()) / entry.weight;
        }
    }
    std::ranges::sort(
        order, {}, [](const auto& entry) { return std::pair(entry.first, entry.second->item.id); });
    std::vector<waiting_item> items;
    items.reserve(order.size());
    for (const auto& [start, waiting] : order) {
        items.push_back(*waiting);
    }
    return items;
}

double fair_queue::queued_tokens() const
{
    double tokens = 0;
    for (const auto& [id, entry] : teams_) {
        tokens += static_cast<double>(entry.queued_tokens);
    }
    return tokens;
}

double fair_queue::tokens_ahead(const team_id& team, double weight) const
{
    const auto own = teams_.find(team);
    const double own_tokens =
        own == teams_.end() ? 0 : static_cast<double>(own->second.queued_tokens);
    double ahead = own_tokens;
    for (const auto& [id, entry] : teams_) {
        if (id != team) {
            const double fair_part = own_tokens * entry.weight / weight;
            ahead += std::min(static_cast<double>(entry.queued_tokens), fair_part);
        }
    }
    return ahead;
}

fair_queue::team_map::iterator fair_queue::longest_backlog()
{
    const auto backlog = [](const auto& team) {
        return static_cast<double>(team.second.waiting.size()) / team.second.weight;
    };
    return std::ranges::max_element(teams_, {}, backlog);
}

std::pair<fair_queue::team_map::iterator, std::deque<waiting_item>::iterator>
fair_queue::find(request_number id)
{
    for (auto team = teams_.begin(); team != teams_.end(); ++team) {
        auto& waiting = team->second.waiting;
        const auto position =
            std::ranges::find(waiting, id, [](const waiting_item& entry) { return entry.item.id; });
        if (position != waiting.end()) {
            return {team, position};
        }
    }
    return {teams_.end(), {}};
}

void fair_queue::erase_idle_teams()
{
    if (teams_.size() > max_idle_teams) {
        std::erase_if(teams_, [this](const auto& team) {
            return team.second.waiting.empty() && team.second.start <= virtual_time_;
        });
    }
}

} // namespace snipespar::agent
