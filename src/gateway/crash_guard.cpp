#include "gateway/crash_guard.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace snipespar::gateway {

namespace {

// A crashed process is noticed by its sidecar within a second, and loses its entry in the registry
// after three intervals of 1.2 s.
constexpr auto confirmation_time = std::chrono::seconds(5);
// Two crashes may be a coincidence: a request that left one crashed upstream may meet another.
constexpr std::size_t crashes_to_refuse = 3;
// Callers of such requests have given up by then.
constexpr auto finding_lifetime = std::chrono::minutes(10);
constexpr int max_repeats = 3;

} // namespace

crash_guard::crash_guard()
    : suspects_(poison::suspect_limits{.lifetime = finding_lifetime,
                                       .crashes_to_refuse = crashes_to_refuse})
{
}

bool crash_guard::is_refused(poison::fingerprint print, time_point now) const
{
    return suspects_.suspicion_of(print, now) == poison::suspicion::refused;
}

duration crash_guard::refusal_time(poison::fingerprint print, time_point now) const
{
    return suspects_.remaining(print, now);
}

void crash_guard::on_broken(poison::fingerprint print, const upstream_id& upstream,
                            std::uint64_t process_start_ms, time_point now)
{
    auto& broken = broken_[upstream];
    if (broken.process_start_ms != process_start_ms) {
        broken = {process_start_ms, {}};
    }
    broken.prints[print] = now;
}

void crash_guard::on_completed(poison::fingerprint print, time_point now)
{
    for (auto& [upstream, broken] : broken_) {
        broken.prints.erase(print);
    }
    if (suspects_.suspicion_of(print, now) != poison::suspicion::none) {
        announcement_ = {suspects_.on_clean_run_alone(print, now), 0};
    }
}

bool crash_guard::on_upstream_ended(const upstream_id& upstream, time_point now)
{
    const auto found = broken_.find(upstream);
    if (found == broken_.end()) {
        return false;
    }
    std::vector<poison::fingerprint> prints;
    for (const auto& [print, at] : found->second.prints) {
        if (now - at < confirmation_time) {
            prints.push_back(print);
        }
    }
    if (!prints.empty()) {
        const poison::crash_id id{upstream, found->second.process_start_ms};
        // Other gateways may have had requests in flight there.
        auto digest = suspects_.on_crash(id, prints, now, false);
        if (announcement_) {
            digest.insert(digest.end(), announcement_->digest.begin(), announcement_->digest.end());
        }
        announcement_ = {std::move(digest), 0};
    }
    broken_.erase(found);
    return !prints.empty();
}

void crash_guard::merge(const poison::suspect_digest& digest, time_point now)
{
    suspects_.merge(digest, now);
}

poison::suspect_digest crash_guard::next_announcement()
{
    if (!announcement_) {
        return {};
    }
    auto digest = announcement_->digest;
    if (++announcement_->repeats >= max_repeats) {
        announcement_.reset();
    }
    return digest;
}

void crash_guard::on_tick(time_point now)
{
    suspects_.on_tick(now);
    for (auto& [upstream, broken] : broken_) {
        std::erase_if(broken.prints,
                      [&](const auto& item) { return now - item.second >= confirmation_time; });
    }
    std::erase_if(broken_, [](const auto& item) { return item.second.prints.empty(); });
}

} // namespace snipespar::gateway
