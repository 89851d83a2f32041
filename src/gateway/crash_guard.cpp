#include "gateway/crash_guard.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace snipespar::gateway {

namespace {

// A crashed process is noticed by its sidecar within a second, and loses its entry in the registry
// after three intervals of 1.2 s.
constexpr auto confirmation_time = std::chrono::seconds(5);
// Two crashes may be a coincidence: a request that left one crashed upstream may meet another.
constexpr std::size_t crashes_to_refuse = 3;
// A part is in flight more often than a request. The users' bound begins after the fifth crash.
constexpr std::size_t crashes_to_refuse_part = 4;
// Callers of such requests have given up by then.
constexpr auto finding_lifetime = std::chrono::minutes(10);
constexpr int max_repeats = 3;
// About 45 bytes each: an announcement fits into one packet.
constexpr std::size_t max_announced_crashes = 28;
// Suspects of this many crashes are announced without waiting for the next tick.
constexpr std::size_t urgent_crashes = 2;
constexpr auto comparison_interval = std::chrono::seconds(1);
// Gateways that decide on the same request at the same time must not send many copies of it.
constexpr double second_chance_share = 0.25;
// Told to callers of a request that may be sent again soon.
constexpr auto second_chance_wait = std::chrono::seconds(2);
// A part that was sound and crashes engines now is tried seldom: each trial may cost an engine.
constexpr auto retrial_interval = std::chrono::seconds(10);
// Engines that end within this time may have lost their power together.
constexpr auto common_cause_time = std::chrono::seconds(1);
// An upstream that restarts under its name is listed with its new start after a few seconds.
constexpr std::uint64_t max_unlisted_restarts = 8;
// Parts of complete responses are remembered for one to two of these periods.
constexpr auto sound_period = std::chrono::minutes(10);
constexpr std::size_t max_sound_parts = 8192;

std::vector<poison::fingerprint> all_of(const request_prints& prints)
{
    auto list = prints.parts;
    list.push_back(prints.request);
    if (prints.content != 0) {
        list.push_back(prints.content);
    }
    return list;
}

} // namespace

crash_guard::crash_guard()
    : suspects_(poison::suspect_limits{.lifetime = finding_lifetime,
                                       .crashes_to_refuse = crashes_to_refuse,
                                       .has_parts = true,
                                       .crashes_to_refuse_part = crashes_to_refuse_part})
{
}

bool crash_guard::is_print_refused(poison::fingerprint print, time_point now) const
{
    return suspects_.suspicion_of(print, now) == poison::suspicion::refused &&
           !(was_sound(print) &&
             suspects_.open_crashes_apart(print, common_cause_time, now) < crashes_to_refuse_part);
}

std::vector<poison::fingerprint> crash_guard::refused_among(const request_prints& prints,
                                                            time_point now) const
{
    auto list = all_of(prints);
    std::erase_if(list, [&](const auto print) { return !is_print_refused(print, now); });
    return list;
}

bool crash_guard::was_sound(poison::fingerprint part) const
{
    return sound_.contains(part) || sound_before_.contains(part);
}

void crash_guard::on_sound(const std::vector<poison::fingerprint>& parts, time_point now)
{
    if (now - sound_since_ > sound_period || sound_.size() >= max_sound_parts) {
        sound_before_ = std::exchange(sound_, {});
        sound_since_ = now;
    }
    sound_.insert(parts.begin(), parts.end());
}

bool crash_guard::is_refused(const request_prints& prints, time_point now) const
{
    return !refused_among(prints, now).empty();
}

bool crash_guard::begin_trial(const request_prints& prints, int gateways, double draw,
                              time_point now)
{
    const auto carried = all_of(prints);
    const auto refused = refused_among(prints, now);
    const bool are_comparable = std::ranges::all_of(refused, [&](const auto print) {
        const auto rivals = suspects_.rivals(print, now);
        return poison::is_part(print) && std::ranges::any_of(rivals, [&](const auto rival) {
                   return poison::is_part(rival) && !std::ranges::count(carried, rival);
               });
    });
    // Each failed retrial lengthens the span of the crashes, and so the time to the next one.
    const bool may_be_sound_again = std::ranges::all_of(refused, [&](const auto print) {
        return was_sound(print) &&
               suspects_.since_last_crash(print, now) >=
                   std::max<duration>(retrial_interval, suspects_.crash_span(print, now));
    });
    const bool may_be_harmless = std::ranges::all_of(refused, [&](const auto print) {
        return may_have_common_cause(print, now) &&
               suspects_.since_last_crash(print, now) >= common_cause_time;
    });
    if (!are_comparable && !may_be_sound_again && !may_be_harmless) {
        return false;
    }
    auto& decided_at = are_comparable    ? comparison_at_
                       : may_be_harmless ? second_chance_at_
                                         : retrial_at_;
    const duration interval =
        may_be_sound_again && !are_comparable ? duration(retrial_interval) : comparison_interval;
    if (decided_at && now - *decided_at < interval) {
        return false;
    }
    decided_at = now;
    return draw * gateways < (may_be_harmless ? second_chance_share : 1.0);
}

// Engines that lose their power together end under requests that have nothing to do with it. One
// that crashes its upstreams does so in its trial as well, which is then apart from the others.
bool crash_guard::may_have_common_cause(poison::fingerprint request, time_point now) const
{
    return !poison::is_part(request) &&
           suspects_.open_crashes_apart(request, common_cause_time, now) <= 1;
}

duration crash_guard::refusal_time(const request_prints& prints, time_point now) const
{
    duration longest{};
    for (const auto print : refused_among(prints, now)) {
        const auto wait = may_have_common_cause(print, now) ? duration(second_chance_wait)
                                                            : suspects_.remaining(print, now);
        longest = std::max(longest, wait);
    }
    return longest;
}

void crash_guard::on_broken(const request_prints& prints, const upstream_id& upstream,
                            std::uint64_t process_start_ms, time_point sent_at, time_point now)
{
    note_broken(prints, upstream, process_of(upstream, process_start_ms, sent_at), {now, false});
}

void crash_guard::on_abandoned(const request_prints& prints, const upstream_id& upstream,
                               std::uint64_t process_start_ms, time_point sent_at, time_point now)
{
    note_broken(prints, upstream, process_of(upstream, process_start_ms, sent_at), {now, true});
}

// Number of the process that ran a request: its start, or a number just above that of its
// predecessor if it is not listed yet. A gateway that has missed ends gives lower numbers, so that
// the same crash is not counted twice.
std::uint64_t crash_guard::process_of(const upstream_id& upstream, std::uint64_t process_start_ms,
                                      time_point sent_at) const
{
    const auto ended = ended_.find(upstream);
    const bool is_successor = ended != ended_.end() && ended->second.process >= process_start_ms &&
                              ended->second.process < process_start_ms + max_unlisted_restarts &&
                              sent_at > ended->second.known_since;
    return is_successor ? ended->second.process + 1 : process_start_ms;
}

void crash_guard::note_end(const poison::crash_id& id, time_point now)
{
    const auto [ended, is_new] = ended_.try_emplace(id.upstream, ended_process{id.number, now});
    if (!is_new && ended->second.process < id.number) {
        ended->second = {id.number, now};
    }
}

void crash_guard::note_broken(const request_prints& prints, const upstream_id& upstream,
                              std::uint64_t process, broken_run run)
{
    auto& broken = broken_[upstream];
    if (broken.process != process) {
        broken = {process, {}};
    }
    for (const auto print : all_of(prints)) {
        const auto [known, is_new] = broken.prints.try_emplace(print, run);
        if (!is_new) {
            known->second = {run.at, known->second.is_abandoned && run.is_abandoned};
        }
    }
}

void crash_guard::on_completed(const request_prints& prints, time_point now)
{
    for (const auto print : all_of(prints)) {
        for (auto& [upstream, broken] : broken_) {
            broken.prints.erase(print);
        }
        if (suspects_.open_crashes(print, now) > 0) {
            clear(print, now);
        }
    }
}

void crash_guard::clear(poison::fingerprint print, time_point now)
{
    suspects_.on_clean_run_alone(print, now);
    if (shared_.contains(print)) {
        pending_[print] = max_repeats;
    }
    else {
        pending_.erase(print);
    }
}

bool crash_guard::on_upstream_ended(const upstream_id& upstream, time_point now)
{
    return note_crash(upstream, true, now);
}

bool crash_guard::on_upstream_unreachable(const upstream_id& upstream, time_point now)
{
    return note_crash(upstream, false, now);
}

bool crash_guard::has_abandoned_runs(const upstream_id& upstream) const
{
    const auto found = broken_.find(upstream);
    return found != broken_.end() &&
           std::ranges::any_of(found->second.prints,
                               [](const auto& item) { return item.second.is_abandoned; });
}

bool crash_guard::note_crash(const upstream_id& upstream, bool is_proved, time_point now)
{
    const auto found = broken_.find(upstream);
    if (found == broken_.end()) {
        return false;
    }
    std::vector<poison::fingerprint> prints;
    std::erase_if(found->second.prints, [&](const auto& item) {
        const auto& [print, run] = item;
        if (run.is_abandoned && !is_proved) {
            return false;
        }
        if (now - run.at < confirmation_time) {
            prints.push_back(print);
            pending_[print] = max_repeats;
        }
        return true;
    });
    if (!prints.empty()) {
        const poison::crash_id id{upstream, found->second.process};
        note_end(id, now);
        // Other gateways may have had requests in flight there.
        suspects_.on_crash(id, prints, now, false);
    }
    return !prints.empty();
}

void crash_guard::merge(const poison::suspect_digest& digest, time_point now)
{
    suspects_.merge(digest, now);
    for (const auto& report : digest) {
        shared_.insert(report.print);
        for (const auto& crash : report.crashes) {
            note_end(crash.id, now);
        }
    }
}

poison::suspect_digest crash_guard::announce(bool is_urgent, time_point now)
{
    std::erase_if(pending_, [&](const auto& item) { return !suspects_.contains(item.first); });
    // Suspects of several crashes come first, the strongest before the others, then what has been
    // cleared; the rest follows with the next announcements.
    std::vector<std::pair<std::size_t, poison::fingerprint>> candidates;
    for (const auto& [print, repeats] : pending_) {
        const auto open = suspects_.open_crashes(print, now);
        const auto rank = open == 0 ? std::size_t{1} : open == 1 ? std::size_t{0} : open;
        if (!is_urgent || open >= urgent_crashes) {
            candidates.emplace_back(rank, print);
        }
    }
    std::ranges::sort(candidates, std::greater<>());
    poison::suspect_digest digest;
    std::size_t announced = 0;
    for (const auto& [rank, print] : candidates) {
        auto report = suspects_.report(print, now);
        announced += report.crashes.size();
        if (announced > max_announced_crashes) {
            break;
        }
        digest.push_back(std::move(report));
        shared_.insert(print);
        if (!is_urgent && --pending_[print] <= 0) {
            pending_.erase(print);
        }
    }
    return digest;
}

poison::suspect_digest crash_guard::next_announcement(time_point now)
{
    return announce(false, now);
}

poison::suspect_digest crash_guard::urgent_announcement(time_point now)
{
    return announce(true, now);
}

poison::suspect_digest crash_guard::refused_findings(time_point now) const
{
    poison::suspect_digest digest;
    std::size_t announced = 0;
    for (const auto print : suspects_.refused(now)) {
        if (!is_print_refused(print, now)) {
            continue;
        }
        auto report = suspects_.report(print, now);
        announced += report.crashes.size();
        if (announced > max_announced_crashes) {
            break;
        }
        digest.push_back(std::move(report));
    }
    return digest;
}

void crash_guard::on_tick(time_point now)
{
    suspects_.on_tick(now);
    for (auto& [upstream, broken] : broken_) {
        std::erase_if(broken.prints,
                      [&](const auto& item) { return now - item.second.at >= confirmation_time; });
    }
    std::erase_if(broken_, [](const auto& item) { return item.second.prints.empty(); });
    std::erase_if(ended_, [&](const auto& item) {
        return now - item.second.known_since >= finding_lifetime;
    });
    std::erase_if(shared_, [&](const auto print) { return !suspects_.contains(print); });
}

} // namespace snipespar::gateway
