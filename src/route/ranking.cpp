#include "route/ranking.h"

#include "base/stable_hash.h"
#include "route/upstream_view.h"

#include <algorithm>
#include <utility>

namespace snipespar::route {

namespace {

// Ranked engines cached per adapter: enough that a few unavailable ones need no new ranking.
constexpr std::size_t max_cached_engines = 16;

using index_list = std::vector<std::uint32_t>;

// Returns the `count` best engines of a base model, best first.
index_list rank_engines(const upstream_view& view, const std::string& base_model,
                        std::uint64_t adapter_hash, std::size_t count)
{
    std::vector<std::pair<double, std::uint32_t>> scored;
    const auto upstreams = view.upstreams();
    for (std::uint32_t index = 0; index < upstreams.size(); ++index) {
        const upstream_status& status = upstreams[index];
        if (status.kind == config::upstream_kind::engine && status.serves == base_model) {
            const double weight = status.max_running;
            scored.emplace_back(rendezvous_score(adapter_hash, status.hash, weight), index);
        }
    }
    const std::size_t kept = std::min(count, scored.size());
    const auto ranked_end = scored.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(scored.begin(), ranked_end, scored.end(), std::greater<>());
    index_list order;
    order.reserve(kept);
    for (auto position = scored.begin(); position != ranked_end; ++position) {
        order.push_back(position->second);
    }
    return order;
}

index_list instances_of(const upstream_view& view, const std::string& service)
{
    index_list order;
    const auto upstreams = view.upstreams();
    for (std::uint32_t index = 0; index < upstreams.size(); ++index) {
        const upstream_status& status = upstreams[index];
        if (status.kind == config::upstream_kind::service && status.serves == service) {
            order.push_back(index);
        }
    }
    return order;
}

} // namespace

ranking::ranking(ranking_limits limits, failure_domain_id own_domain, std::uint64_t seed)
    : limits_(limits), own_domain_(std::move(own_domain)), random_(seed)
{
}

upstream_choice ranking::choose_engine(const upstream_view& view, const engine_request& request,
                                       std::span<const upstream_id> tried, time_point now)
{
    reset_if_membership_changed(view);
    const std::uint64_t adapter_hash = stable_hash(request.adapter.str());
    index_list candidates = engine_candidates(view, request, adapter_hash, tried, now);
    if (candidates.empty()) {
        return {std::nullopt, limits_.retry_after};
    }
    order_by_prefix(view, request, candidates);
    const auto full_cost = [&](std::uint32_t index) {
        const bool resident = view.is_resident(index, adapter_hash);
        return cost(view, index, now) + (resident ? duration{} : limits_.load_cost);
    };
    std::uint32_t best = candidates.front();
    if (candidates.size() > 1) {
        const duration bonus = request.prefix_hash ? limits_.locality_bonus : duration{};
        const bool second = full_cost(candidates[1]) + bonus < full_cost(best);
        best = candidates[second ? 1 : 0];
    }
    return {view.upstreams()[best].id, std::nullopt};
}

upstream_choice ranking::choose_service(const upstream_view& view, const std::string& service,
                                        std::span<const upstream_id> tried, time_point now)
{
    reset_if_membership_changed(view);
    const auto [position, added] = services_.try_emplace(service);
    if (added) {
        position->second = instances_of(view, service);
    }
    const std::size_t all = position->second.size();
    index_list healthy = select(view, position->second, tried, all, health::healthy, now);
    if (healthy.empty()) {
        healthy = select(view, position->second, tried, all, health::any, now);
    }
    if (healthy.empty()) {
        return {std::nullopt, limits_.retry_after};
    }
    const auto local_end = std::ranges::partition(healthy, [&](std::uint32_t index) {
                               return view.upstreams()[index].failure_domain == own_domain_;
                           }).begin();
    const index_list local(healthy.begin(), local_end);
    const index_list& first_pool = local.empty() ? healthy : local;
    const std::uint32_t first = pick_random(first_pool);
    const std::uint32_t second = pick_random(first_pool);
    const std::uint32_t third = pick_random(healthy);
    const auto lower = [&](std::uint32_t left, std::uint32_t right) {
        return cost(view, left, now) < cost(view, right, now);
    };
    return {view.upstreams()[std::min({first, second, third}, lower)].id, std::nullopt};
}

void ranking::reset_if_membership_changed(const upstream_view& view)
{
    if (membership_ != view.membership()) {
        membership_ = view.membership();
        adapters_.clear();
        services_.clear();
    }
}

ranking::adapter_entry& ranking::find_or_add_entry(const upstream_view& view,
                                                   const engine_request& request,
                                                   std::uint64_t adapter_hash)
{
    const auto [position, added] = adapters_.try_emplace(adapter_hash);
    if (added) {
        position->second.order =
            rank_engines(view, request.base_model, adapter_hash, max_cached_engines);
    }
    return position->second;
}

std::uint32_t ranking::update_width(adapter_entry& entry, double demand) const
{
    const auto width_for = [&](double tokens_per_s) {
        const double engines = tokens_per_s / limits_.tokens_per_s_per_engine;
        const double bounded = std::min(engines, static_cast<double>(limits_.max_width));
        const auto whole = static_cast<std::uint32_t>(bounded) + 1;
        return std::clamp(whole, limits_.min_width, limits_.max_width);
    };
    const std::uint32_t needed = width_for(demand);
    const std::uint32_t kept = width_for(demand / limits_.shrink_fraction);
    entry.width = std::clamp(entry.width, needed, std::max(needed, kept));
    return entry.width;
}

ranking::index_list ranking::select(const upstream_view& view, std::span<const std::uint32_t> order,
                                    std::span<const upstream_id> tried, std::size_t count,
                                    health required, time_point now,
                                    const std::string& software) const
{
    index_list chosen;
    for (const std::uint32_t index : order) {
        // An agent without a request so far may not have read its engine's version. It refuses the
        // request if that differs.
        const std::string& stated = view.upstreams()[index].report.software;
        if (!software.empty() && !stated.empty() && stated != software) {
            continue;
        }
        const availability state = view.availability_of(index, now);
        const bool healthy = state == availability::available;
        const bool usable =
            healthy || state == availability::ejected || state == availability::on_trial;
        const bool acceptable = required == health::healthy ? healthy : usable;
        if (acceptable && std::ranges::find(tried, view.upstreams()[index].id) == tried.end()) {
            chosen.push_back(index);
        }
        if (chosen.size() == count) {
            break;
        }
    }
    return chosen;
}

ranking::index_list ranking::engine_candidates(const upstream_view& view,
                                               const engine_request& request,
                                               std::uint64_t adapter_hash,
                                               std::span<const upstream_id> tried, time_point now)
{
    adapter_entry& entry = find_or_add_entry(view, request, adapter_hash);
    const std::uint32_t width = update_width(entry, request.demand_tokens_per_s);
    const auto& software = request.software;
    index_list candidates = select(view, entry.order, tried, width, health::healthy, now, software);
    if (!candidates.empty() && (candidates.size() == width || entry.order.size() < width)) {
        return candidates;
    }
    const auto all_engines =
        rank_engines(view, request.base_model, adapter_hash, view.upstreams().size());
    candidates = select(view, all_engines, tried, width, health::healthy, now, software);
    if (candidates.empty()) {
        candidates = select(view, all_engines, tried, width, health::any, now, software);
    }
    return candidates;
}

// Moves the two candidates for the prompt prefix to the front; without a prefix, two random ones.
void ranking::order_by_prefix(const upstream_view& view, const engine_request& request,
                              index_list& candidates)
{
    if (!request.prefix_hash) {
        std::ranges::shuffle(candidates, random_);
        return;
    }
    std::ranges::sort(candidates, std::greater<>(), [&](std::uint32_t index) {
        return combine_hash(*request.prefix_hash, view.upstreams()[index].hash);
    });
}

duration ranking::cost(const upstream_view& view, std::uint32_t index, time_point now) const
{
    const bool cross_domain = view.upstreams()[index].failure_domain != own_domain_;
    return view.wait_estimate(index, now) + (cross_domain ? limits_.cross_domain_cost : duration{});
}

std::uint32_t ranking::pick_random(const index_list& candidates)
{
    std::uniform_int_distribution<std::size_t> distribution(0, candidates.size() - 1);
    return candidates[distribution(random_)];
}

} // namespace snipespar::route
