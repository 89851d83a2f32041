#include "poison/suspect_table.h"

#include <algorithm>
#include <utility>

namespace snipespar::poison {

namespace {

constexpr std::size_t deaths_to_refuse = 2;

// Deaths kept for one fingerprint; more would not change what is decided.
constexpr std::size_t max_deaths = 8;

} // namespace

suspect_table::suspect_table(suspect_limits limits) : limits_(limits) {}

suspect_digest suspect_table::on_death(const death_id& id, std::span<const fingerprint> in_flight,
                                       time_point now)
{
    const std::set<fingerprint> prints(in_flight.begin(), in_flight.end());
    suspect_digest told;
    for (const auto print : prints) {
        told.push_back({print, {{id, prints.size() == 1, false, limits_.lifetime}}});
    }
    merge(told, now);
    return told;
}

suspect_digest suspect_table::on_clean_run_alone(fingerprint print, time_point now)
{
    const auto found = suspects_.find(print);
    if (found == suspects_.end()) {
        return {};
    }
    for (auto& [id, death] : found->second) {
        death.cleared = true;
    }
    return {report(print, found->second, now)};
}

std::vector<fingerprint> suspect_table::merge(const suspect_digest& digest, time_point now)
{
    std::vector<fingerprint> changed;
    for (const auto& told : digest) {
        const auto known = suspects_.find(told.print);
        const death_map before = known == suspects_.end() ? death_map{} : known->second;
        death_map deaths = before;
        for (const auto& item : told.deaths) {
            const auto expires = now + std::min(item.remaining, limits_.lifetime);
            if (expires <= now || (deaths.size() >= max_deaths && !deaths.contains(item.id))) {
                continue;
            }
            auto [place, added] = deaths.try_emplace(item.id, death{false, false, expires});
            auto& death = place->second;
            death.alone = death.alone || item.alone;
            death.cleared = death.cleared || item.cleared;
            death.expires = std::min(death.expires, expires);
            in_flight_[item.id].insert(told.print);
        }
        const auto same_evidence = [](const auto& left, const auto& right) {
            return left.first == right.first && left.second.alone == right.second.alone &&
                   left.second.cleared == right.second.cleared;
        };
        if (!std::ranges::equal(before, deaths, same_evidence)) {
            changed.push_back(told.print);
        }
        if (!deaths.empty()) {
            suspects_[told.print] = std::move(deaths);
        }
    }
    make_room();
    return changed;
}

bool suspect_table::is_culprit(const death_map& deaths, time_point now)
{
    return std::ranges::any_of(deaths, [now](const auto& entry) {
        return entry.second.alone && !entry.second.cleared && entry.second.expires > now;
    });
}

bool suspect_table::is_explained(const death_id& id, fingerprint print, time_point now) const
{
    const auto found = in_flight_.find(id);
    return found != in_flight_.end() &&
           std::ranges::any_of(found->second, [&](const fingerprint other) {
               const auto deaths = suspects_.find(other);
               return other != print && deaths != suspects_.end() &&
                      is_culprit(deaths->second, now);
           });
}

std::vector<death_id> suspect_table::unexplained(fingerprint print, time_point now) const
{
    std::vector<death_id> counted;
    const auto found = suspects_.find(print);
    if (found == suspects_.end()) {
        return counted;
    }
    const bool culprit = is_culprit(found->second, now);
    for (const auto& [id, death] : found->second) {
        const bool counts = !death.cleared && death.expires > now;
        if (counts && (culprit || !is_explained(id, print, now))) {
            counted.push_back(id);
        }
    }
    return counted;
}

suspicion suspect_table::of(fingerprint print, time_point now) const
{
    const auto deaths = unexplained(print, now);
    if (deaths.empty()) {
        return suspicion::none;
    }
    return deaths.size() >= deaths_to_refuse ? suspicion::refused : suspicion::suspect;
}

bool suspect_table::died_at(fingerprint print, const upstream_id& upstream, time_point now) const
{
    const auto deaths = unexplained(print, now);
    return std::ranges::find(deaths, upstream, &death_id::upstream) != deaths.end();
}

duration suspect_table::remaining(fingerprint print, time_point now) const
{
    duration left{};
    for (const auto& id : unexplained(print, now)) {
        left = std::max(left, suspects_.at(print).at(id).expires - now);
    }
    return left;
}

suspect_report suspect_table::report(fingerprint print, const death_map& deaths,
                                     time_point now) const
{
    suspect_report told{print, {}};
    for (const auto& [id, death] : deaths) {
        if (death.expires > now) {
            told.deaths.push_back({id, death.alone, death.cleared, death.expires - now});
        }
    }
    return told;
}

suspect_digest suspect_table::digest(time_point now) const
{
    suspect_digest told;
    for (const auto& [print, deaths] : suspects_) {
        auto item = report(print, deaths, now);
        if (!item.deaths.empty()) {
            told.push_back(std::move(item));
        }
    }
    return told;
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

void suspect_table::make_room()
{
    while (suspects_.size() > limits_.max_fingerprints) {
        // Fewest deaths that still count, then the earliest to expire.
        const auto evidence = [](const auto& entry) {
            const auto counted = std::ranges::count_if(
                entry.second, [](const auto& item) { return !item.second.cleared; });
            const auto last = std::ranges::max_element(
                entry.second, {}, [](const auto& item) { return item.second.expires; });
            return std::pair(counted, last->second.expires);
        };
        const auto weakest = std::ranges::min_element(suspects_, {}, evidence);
        for (const auto& [id, death] : weakest->second) {
            in_flight_[id].erase(weakest->first);
        }
        suspects_.erase(weakest);
    }
    std::erase_if(in_flight_, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace snipespar::poison
