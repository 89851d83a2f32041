#include "poison/suspect_table.h"

#include <algorithm>
#include <compare>
#include <cstddef>
#include <utility>

namespace snipespar::poison {

namespace {

// Maximum number of crashes per fingerprint; more would not change the verdict.
constexpr std::size_t max_crashes = 8;
// Part of a full table that is evicted at once.
constexpr std::size_t eviction_divisor = 8;

} // namespace

suspect_table::suspect_table(suspect_limits limits) : limits_(limits) {}

suspect_digest suspect_table::on_crash(const crash_id& id, std::span<const fingerprint> in_flight,
                                       time_point now, bool is_complete)
{
    const std::set<fingerprint> prints(in_flight.begin(), in_flight.end());
    const bool alone = is_complete && prints.size() == 1;
    suspect_digest reported;
    for (const auto print : prints) {
        reported.push_back({print, {{id, alone, false, limits_.lifetime}}});
    }
    merge(reported, now);
    return reported;
}

suspect_digest suspect_table::on_clean_run_alone(fingerprint print, time_point now)
{
    const auto found = suspects_.find(print);
    if (found == suspects_.end()) {
        return {};
    }
    for (auto& [id, crash] : found->second) {
        crash.cleared = true;
    }
    return {make_report(print, found->second, now)};
}

std::vector<fingerprint> suspect_table::merge(const suspect_digest& digest, time_point now)
{
    std::vector<fingerprint> changed;
    for (const auto& reported : digest) {
        const auto known = suspects_.find(reported.print);
        const crash_map before = known == suspects_.end() ? crash_map{} : known->second;
        crash_map crashes = before;
        for (const auto& item : reported.crashes) {
            const auto expires = now + std::min(item.remaining, limits_.lifetime);
            if (expires <= now) {
                continue;
            }
            if (crashes.size() >= max_crashes && !crashes.contains(item.id)) {
                make_room(reported.print, crashes);
                if (crashes.size() >= max_crashes) {
                    continue;
                }
            }
            auto [position, added] = crashes.try_emplace(item.id, crash{false, false, expires});
            auto& crash = position->second;
            crash.alone = crash.alone || item.alone;
            crash.cleared = crash.cleared || item.cleared;
            crash.expires = std::min(crash.expires, expires);
            in_flight_[item.id].insert(reported.print);
        }
        const auto same_evidence = [](const auto& left, const auto& right) {
            return left.first == right.first && left.second.alone == right.second.alone &&
                   left.second.cleared == right.second.cleared;
        };
        if (!std::ranges::equal(before, crashes, same_evidence)) {
            changed.push_back(reported.print);
        }
        if (!crashes.empty()) {
            suspects_[reported.print] = std::move(crashes);
        }
    }
    evict_weakest();
    return changed;
}

bool suspect_table::is_confirmed_cause(const crash_map& crashes, time_point now)
{
    return std::ranges::any_of(crashes, [now](const auto& entry) {
        return entry.second.alone && !entry.second.cleared && entry.second.expires > now;
    });
}

bool suspect_table::has_other_cause(const crash_id& id, fingerprint print, time_point now) const
{
    const auto found = in_flight_.find(id);
    return found != in_flight_.end() &&
           std::ranges::any_of(found->second, [&](const fingerprint other) {
               const auto crashes = suspects_.find(other);
               return other != print && crashes != suspects_.end() &&
                      is_confirmed_cause(crashes->second, now);
           });
}

std::vector<crash_id> suspect_table::attributable_crashes(fingerprint print, time_point now) const
{
    std::vector<crash_id> counted;
    const auto found = suspects_.find(print);
    if (found == suspects_.end()) {
        return counted;
    }
    const bool confirmed_cause = is_confirmed_cause(found->second, now);
    const auto open = limits_.has_parts ? open_crashes(print, now) : 0;
    for (const auto& [id, crash] : found->second) {
        const bool counts = !crash.cleared && crash.expires > now;
        const bool is_explained = !confirmed_cause && has_other_cause(id, print, now);
        if (counts && !is_explained &&
            !(limits_.has_parts && has_stronger_suspect(id, print, open, now))) {
            counted.push_back(id);
        }
    }
    return counted;
}

std::size_t suspect_table::open_crashes(fingerprint print, time_point now) const
{
    const auto found = suspects_.find(print);
    if (found == suspects_.end()) {
        return 0;
    }
    return static_cast<std::size_t>(std::ranges::count_if(found->second, [now](const auto& item) {
        return !item.second.cleared && item.second.expires > now;
    }));
}

// Expiries of the open crashes in order; each expires a fixed time after it happened.
std::vector<time_point> suspect_table::open_expiries(fingerprint print, time_point now) const
{
    std::vector<time_point> expiries;
    if (const auto found = suspects_.find(print); found != suspects_.end()) {
        for (const auto& [id, crash] : found->second) {
            if (!crash.cleared && crash.expires > now) {
                expiries.push_back(crash.expires);
            }
        }
    }
    std::ranges::sort(expiries);
    return expiries;
}

std::size_t suspect_table::open_crashes_apart(fingerprint print, duration gap, time_point now) const
{
    std::size_t count = 0;
    time_point last;
    for (const auto expiry : open_expiries(print, now)) {
        if (count == 0 || expiry - last >= gap) {
            ++count;
            last = expiry;
        }
    }
    return count;
}

duration suspect_table::since_last_crash(fingerprint print, time_point now) const
{
    const auto expiries = open_expiries(print, now);
    return expiries.empty() ? duration{} : now + limits_.lifetime - expiries.back();
}

duration suspect_table::crash_span(fingerprint print, time_point now) const
{
    const auto expiries = open_expiries(print, now);
    return expiries.empty() ? duration{} : expiries.back() - expiries.front();
}

bool suspect_table::has_stronger_suspect(const crash_id& id, fingerprint print, std::size_t open,
                                         time_point now) const
{
    const auto found = in_flight_.find(id);
    return found != in_flight_.end() &&
           std::ranges::any_of(found->second, [&](const fingerprint other) {
               const auto others = suspects_.find(other);
               if (other == print || others == suspects_.end()) {
                   return false;
               }
               const auto crash = others->second.find(id);
               if (crash == others->second.end() || crash->second.cleared) {
                   return false;
               }
               const auto other_open = open_crashes(other, now);
               return other_open > open ||
                      (other_open == open && !is_part(other) && is_part(print));
           });
}

std::set<fingerprint> suspect_table::rivals(fingerprint print, time_point now) const
{
    std::set<fingerprint> found;
    const auto own = suspects_.find(print);
    if (own == suspects_.end()) {
        return found;
    }
    const auto open = open_crashes(print, now);
    for (const auto& [id, crash] : own->second) {
        const auto others = in_flight_.find(id);
        if (crash.cleared || crash.expires <= now || others == in_flight_.end()) {
            continue;
        }
        for (const auto other : others->second) {
            if (other != print && open_crashes(other, now) == open) {
                found.insert(other);
            }
        }
    }
    return found;
}

std::vector<fingerprint> suspect_table::refused(time_point now) const
{
    std::vector<fingerprint> list;
    for (const auto& [print, crashes] : suspects_) {
        if (suspicion_of(print, now) == suspicion::refused) {
            list.push_back(print);
        }
    }
    return list;
}

suspect_report suspect_table::report(fingerprint print, time_point now) const
{
    const auto found = suspects_.find(print);
    return found == suspects_.end() ? suspect_report{print, {}}
                                    : make_report(print, found->second, now);
}

std::size_t suspect_table::threshold(fingerprint print) const
{
    return limits_.has_parts && is_part(print) ? limits_.crashes_to_refuse_part
                                               : limits_.crashes_to_refuse;
}

suspicion suspect_table::suspicion_of(fingerprint print, time_point now) const
{
    if (limits_.has_parts) {
        // Most fingerprints have little evidence, which needs no comparison with that of others.
        const auto open = open_crashes(print, now);
        if (open < threshold(print)) {
            return open == 0 ? suspicion::none : suspicion::suspect;
        }
    }
    const auto crashes = attributable_crashes(print, now);
    if (crashes.empty()) {
        return suspicion::none;
    }
    return crashes.size() >= threshold(print) ? suspicion::refused : suspicion::suspect;
}

bool suspect_table::crashed_at(fingerprint print, const upstream_id& upstream, time_point now) const
{
    const auto crashes = attributable_crashes(print, now);
    return std::ranges::find(crashes, upstream, &crash_id::upstream) != crashes.end();
}

duration suspect_table::remaining(fingerprint print, time_point now) const
{
    duration longest_remaining{};
    for (const auto& id : attributable_crashes(print, now)) {
        longest_remaining = std::max(longest_remaining, suspects_.at(print).at(id).expires - now);
    }
    return longest_remaining;
}

suspect_report suspect_table::make_report(fingerprint print, const crash_map& crashes,
                                          time_point now) const
{
    suspect_report reported{print, {}};
    for (const auto& [id, crash] : crashes) {
        if (crash.expires > now) {
            reported.crashes.push_back({id, crash.alone, crash.cleared, crash.expires - now});
        }
    }
    return reported;
}

suspect_digest suspect_table::digest(time_point now) const
{
    suspect_digest reported;
    for (const auto& [print, crashes] : suspects_) {
        auto item = make_report(print, crashes, now);
        if (!item.crashes.empty()) {
            reported.push_back(std::move(item));
        }
    }
    return reported;
}

void suspect_table::on_tick(time_point now)
{
    for (auto it = suspects_.begin(); it != suspects_.end();) {
        std::erase_if(it->second, [&](const auto& entry) {
            const bool expired = entry.second.expires <= now;
            if (expired) {
                in_flight_[entry.first].erase(it->first);
            }
            return expired;
        });
        it = it->second.empty() ? suspects_.erase(it) : std::next(it);
    }
    std::erase_if(in_flight_, [](const auto& entry) { return entry.second.empty(); });
}

// Drops the cleared crash that expires first, if there is one: a fingerprint that was cleared may
// cause crashes later. Otherwise, where the time between crashes matters, drops the one that is
// closest to the crash before it.
void suspect_table::make_room(fingerprint print, crash_map& crashes)
{
    auto dropped = crashes.end();
    std::vector<crash_map::iterator> by_time;
    for (auto item = crashes.begin(); item != crashes.end(); ++item) {
        by_time.push_back(item);
        if (item->second.cleared &&
            (dropped == crashes.end() || item->second.expires < dropped->second.expires)) {
            dropped = item;
        }
    }
    if (dropped == crashes.end() && limits_.has_parts) {
        std::ranges::sort(by_time, {}, [](const auto item) { return item->second.expires; });
        auto shortest = duration::max();
        for (std::size_t i = 1; i < by_time.size(); ++i) {
            const auto gap = by_time[i]->second.expires - by_time[i - 1]->second.expires;
            if (gap < shortest) {
                shortest = gap;
                dropped = by_time[i];
            }
        }
    }
    if (dropped != crashes.end()) {
        in_flight_[dropped->first].erase(print);
        crashes.erase(dropped);
    }
}

void suspect_table::evict_weakest()
{
    if (suspects_.size() > limits_.max_fingerprints) {
        // Fewest crashes that still count, then the earliest to expire. Some more than needed are
        // evicted, so that a full table is not searched for each new fingerprint.
        struct evidence {
            std::ptrdiff_t counted = 0;
            time_point last;
            fingerprint print = 0;

            auto operator<=>(const evidence&) const = default;
        };
        std::vector<evidence> order;
        order.reserve(suspects_.size());
        for (const auto& [print, crashes] : suspects_) {
            const auto counted = std::ranges::count_if(
                crashes, [](const auto& item) { return !item.second.cleared; });
            const auto last = std::ranges::max_element(
                crashes, {}, [](const auto& item) { return item.second.expires; });
            order.push_back({counted, last->second.expires, print});
        }
        const auto excess = suspects_.size() - limits_.max_fingerprints;
        const auto evicted =
            std::min(order.size() - 1, excess + limits_.max_fingerprints / eviction_divisor);
        const auto end = order.begin() + static_cast<std::ptrdiff_t>(evicted);
        std::ranges::nth_element(order, end);
        for (auto item = order.begin(); item != end; ++item) {
            const auto weakest = suspects_.find(item->print);
            for (const auto& [id, crash] : weakest->second) {
                in_flight_[id].erase(item->print);
            }
            suspects_.erase(weakest);
        }
    }
    std::erase_if(in_flight_, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace snipespar::poison
