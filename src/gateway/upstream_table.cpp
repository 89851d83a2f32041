#include "gateway/upstream_table.h"

#include "base/stable_hash.h"
#include "control/sidecar_heartbeat.h"

#include <algorithm>
#include <set>

namespace snipespar::gateway {

namespace {

// An upstream must get no more work 2 s after its removal. The watch that reports the removal may
// pause for most of a second, and the store may be slow.
constexpr auto removal_grace = std::chrono::milliseconds(200);
// Entries that expired during a registry outage are back within about 2 s.
constexpr auto recovery_grace = std::chrono::milliseconds(2300);
// The request is renewed while calls need the replica; the sidecar reports in between.
constexpr auto replica_request_lifetime = std::chrono::milliseconds(700);
// Upstreams write their entries at least every 1.2 s; an entry that is not renewed expires after
// three such intervals. Within that time and the delay of a watch, entries from an old copy of the
// registry are either renewed or gone.
constexpr auto restored_entry_probation = std::chrono::milliseconds(6000);
// How long an incarnation that is no longer listed is remembered, so that a late entry does not
// bring it back.
constexpr auto former_incarnation_lifetime = std::chrono::minutes(10);
// How long other gateways are told of an upstream that announced its stop; several reports may be
// lost in that time.
constexpr auto leaving_announcement_time = std::chrono::seconds(5);
// How long it is remembered whether a software version serves.
constexpr auto version_check_interval = std::chrono::milliseconds(100);
// Weight of one result in the smoothed failure rate.
constexpr double failure_smoothing = 0.12;
// Consecutive failures after which an upstream is ejected for a while.
constexpr int failures_before_ejection = 4;
constexpr auto initial_ejection = std::chrono::milliseconds(500);
constexpr auto max_ejection = std::chrono::milliseconds(4000);

} // namespace

void upstream_table::update(const upstream_entry& entry, time_point now)
{
    auto [item, is_new] = states_.try_emplace(entry.id);
    auto& state = item->second;
    const bool is_other_process = state.entry.address != entry.address ||
                                  state.entry.process_start_ms != entry.process_start_ms ||
                                  state.entry.software != entry.software;
    if (is_new || is_other_process) {
        ++membership_;
    }
    const auto known_start_ms = state.known_start_ms;
    const auto may_be_cold_since = state.may_be_cold_since;
    if (!is_new && is_other_process) {
        // A new incarnation has this name; the state of the earlier one is void.
        versions_.on_left(state.entry.service, state.entry.software, now);
        const int in_flight = state.in_flight;
        state = {};
        state.in_flight = in_flight;
    }
    if (is_new || is_other_process) {
        // Its sidecar may have told of this process before.
        const bool is_known = known_start_ms != 0 && known_start_ms == entry.process_start_ms;
        state.known_start_ms = entry.process_start_ms;
        state.may_be_cold_since = is_known ? may_be_cold_since : now;
    }
    if (entry.cold_time > duration{} &&
        (is_new || is_other_process || entry.cold_time != state.entry.cold_time)) {
        // Counted from now on, as the age of the statement is not known.
        state.cold_until = std::max(state.cold_until, now + entry.cold_time);
    }
    state.is_evacuated = evacuated_.contains(entry.failure_domain);
    if (is_new) {
        if (const auto former = former_.find(entry.id);
            former != former_.end() && former->second.process_start_ms == entry.process_start_ms &&
            entry.process_start_ms != 0) {
            state.is_leaving = former->second.was_leaving;
            state.closed_until = restored_until_;
        }
        former_.erase(entry.id);
    }
    else if (state.removal_at && now >= *state.removal_at && now < restored_until_) {
        state.closed_until = restored_until_;
    }
    state.entry = entry;
    state.address = entry.address.str();
    state.address_hash = stable_hash(state.address);
    state.removal_at.reset();
    // Entries without a process start cannot be told apart from those of the next incarnation.
    state.is_leaving = state.is_leaving || (entry.is_draining && entry.process_start_ms != 0);
    // An address belongs to one process at a time: the entry of an earlier process is stale.
    for (auto& [id, other] : states_) {
        if (id == entry.id || other.entry.address != entry.address || other.removal_at) {
            continue;
        }
        if (other.entry.process_start_ms > entry.process_start_ms) {
            state.removal_at = now;
        }
        else if (is_new) {
            other.removal_at = now;
        }
    }
    if (!is_new || state.removal_at) {
        return;
    }
    const auto last_status = last_statuses_.find(state.address);
    if (last_status != last_statuses_.end() &&
        now - last_status->second.received_at <= kept_status_lifetime) {
        state.status = last_status->second.status;
        state.status_at = now;
        state.sidecar_heard_at = now;
    }
}

void upstream_table::remove(const upstream_id& id, time_point now)
{
    const auto found = states_.find(id);
    if (found == states_.end() || found->second.removal_at) {
        return;
    }
    auto removal_at = now + removal_grace;
    if (registry_recovered_at_) {
        removal_at = std::max(removal_at, *registry_recovered_at_ + recovery_grace);
    }
    found->second.removal_at = removal_at;
    versions_.on_left(found->second.entry.service, found->second.entry.software, now);
}

void upstream_table::replace(const std::vector<upstream_entry>& entries, time_point now)
{
    // What came and went since the last change that was reported is not in the list.
    versions_.on_gap_ended(now);
    versions_.on_registry_followed(now);
    std::set<upstream_id> listed;
    for (const auto& entry : entries) {
        listed.insert(entry.id);
        update(entry, now);
    }
    for (const auto& [id, state] : states_) {
        if (!listed.contains(id)) {
            remove(id, now);
        }
    }
}

void upstream_table::on_standstill(time_point now)
{
    versions_.on_gap_ended(now);
    for (auto& [id, state] : states_) {
        state.may_be_cold_since = now;
    }
}

void upstream_table::set_evacuated(std::set<failure_domain_id> domains, time_point now)
{
    evacuated_ = std::move(domains);
    for (auto& [id, state] : states_) {
        const bool was_evacuated = state.is_evacuated;
        state.is_evacuated = evacuated_.contains(state.entry.failure_domain);
        if (was_evacuated && !state.is_evacuated) {
            state.may_be_cold_since = now;
        }
    }
}

void upstream_table::on_registry_recovered(time_point now)
{
    registry_recovered_at_ = now;
    versions_.on_registry_followed(now);
}

void upstream_table::on_registry_restored(time_point now)
{
    registry_recovered_at_ = now;
    // The copy may lack versions that have served; it is followed once it has been listed.
    versions_.on_registry_lost();
    restored_until_ = now + restored_entry_probation;
}

void upstream_table::on_leaving(const upstream_id& id, time_point now)
{
    const auto found = states_.find(id);
    if (found != states_.end() && !found->second.leaving_since) {
        found->second.is_leaving = true;
        found->second.leaving_since = now;
    }
}

void upstream_table::on_peer_saw_leaving(const upstream_id& id, std::uint64_t process_start_ms)
{
    const auto found = states_.find(id);
    if (found != states_.end() && found->second.entry.process_start_ms == process_start_ms) {
        found->second.is_leaving = true;
    }
}

std::map<std::string, std::uint64_t> upstream_table::recently_leaving(time_point now) const
{
    std::map<std::string, std::uint64_t> leaving;
    for (const auto& [id, state] : states_) {
        if (state.leaving_since && now - *state.leaving_since < leaving_announcement_time) {
            leaving[id.str()] = state.entry.process_start_ms;
        }
    }
    return leaving;
}

void upstream_table::on_overloaded(const upstream_id& id, duration retry_after, time_point now)
{
    const auto found = states_.find(id);
    if (found != states_.end()) {
        found->second.closed_until = std::max(found->second.closed_until, now + retry_after);
    }
}

void upstream_table::on_permit_refused(const upstream_id& id, duration wait, time_point now)
{
    const auto found = states_.find(id);
    if (found != states_.end()) {
        found->second.no_permits_until = std::max(found->second.no_permits_until, now + wait);
    }
}

bool upstream_table::on_rate_named(const upstream_id& id, std::optional<double> rate_per_s,
                                   time_point sent_at, time_point now)
{
    const auto found = states_.find(id);
    if (found == states_.end()) {
        return false;
    }
    auto& known = found->second.rate;
    if (!rate_per_s) {
        // Responses to earlier calls may have left before the rate was named.
        const bool has_ended = known && sent_at > known->named_at;
        if (has_ended) {
            known.reset();
        }
        return has_ended;
    }
    const bool is_new = !known || known->per_s != *rate_per_s;
    known = named_rate{*rate_per_s, now};
    return is_new;
}

std::vector<upstream_id> upstream_table::on_engine_status(const engine_status& status,
                                                          time_point now)
{
    std::vector<upstream_id> affected;
    for (auto& [id, state] : states_) {
        if (state.address != status.engine) {
            continue;
        }
        affected.push_back(id);
        if (state.removal_at) {
            continue;
        }
        const bool is_outdated = state.status &&
                                 state.status->sidecar_start == status.sidecar_start &&
                                 state.status->sequence >= status.sequence;
        if (!is_outdated) {
            if (status.process_start_ms != 0 && status.process_start_ms != state.known_start_ms) {
                // Another process has begun, which its entry does not name yet.
                state.known_start_ms = status.process_start_ms;
                state.may_be_cold_since = now;
            }
            state.status = status;
            state.status_at = now;
            state.sidecar_heard_at = now;
            state.in_flight_at_status = state.in_flight;
            state.prompt_tokens_at_status = state.prompt_tokens;
        }
    }
    keep_status(status, !affected.empty(), now);
    return affected;
}

void upstream_table::keep_status(const engine_status& status, bool is_listed, time_point now)
{
    last_statuses_[status.engine] = {status, now, is_listed};
    if (last_statuses_.size() > max_kept_statuses) {
        // Engines that are listed come last, as those of invented names may be many.
        last_statuses_.erase(std::ranges::min_element(last_statuses_, {}, [](const auto& item) {
            return std::pair(item.second.is_listed, item.second.received_at);
        }));
    }
}

void upstream_table::on_heartbeat(const control::sidecar_heartbeat& heartbeat, time_point now)
{
    for (auto& [id, state] : states_) {
        if (state.address != heartbeat.engine || state.removal_at || !state.status ||
            state.status->sidecar_start != heartbeat.sidecar_start ||
            state.status->sequence >= heartbeat.sequence) {
            continue;
        }
        state.sidecar_heard_at = now;
        if (state.status->sequence < heartbeat.report_sequence) {
            continue;
        }
        state.status->sequence = heartbeat.sequence;
        state.status->running = heartbeat.running;
        state.status->waiting = heartbeat.waiting;
        state.status->workload = heartbeat.workload;
        state.status_at = now;
        state.in_flight_at_status = state.in_flight;
        state.prompt_tokens_at_status = state.prompt_tokens;
    }
}

void upstream_table::on_load_stated(const upstream_id& id, const stated_load& load, time_point now)
{
    const auto found = states_.find(id);
    if (found != states_.end()) {
        found->second.load = load;
        found->second.load_at = now;
        found->second.in_flight_at_load = found->second.in_flight;
    }
}

void upstream_table::on_call_sent(const upstream_id& id, std::string_view adapter,
                                  std::uint64_t tokens)
{
    const auto found = states_.find(id);
    if (found == states_.end()) {
        return;
    }
    ++found->second.in_flight;
    found->second.prompt_tokens += tokens;
    if (!adapter.empty()) {
        auto& calls = found->second.adapters[std::string(adapter)];
        ++calls.running;
        if (found->second.status && found->second.status->counts_calls) {
            ++calls.begun;
        }
    }
}

void upstream_table::on_response_started(const upstream_id& id, std::uint64_t tokens,
                                         time_point now)
{
    const auto found = states_.find(id);
    if (found != states_.end()) {
        found->second.prompt_tokens -= std::min(found->second.prompt_tokens, tokens);
        found->second.last_response_at = now;
    }
}

void upstream_table::on_progress(const upstream_id& id, time_point now)
{
    const auto found = states_.find(id);
    if (found != states_.end()) {
        found->second.last_response_at = now;
    }
}

bool upstream_table::on_call_ended(const upstream_id& id, std::string_view adapter,
                                   std::uint64_t outstanding_tokens, call_result result,
                                   time_point now)
{
    const auto found = states_.find(id);
    if (found == states_.end()) {
        return false;
    }
    auto& state = found->second;
    bool should_notify = false;
    state.in_flight = std::max(state.in_flight - 1, 0);
    state.prompt_tokens -= std::min(state.prompt_tokens, outstanding_tokens);
    if (!adapter.empty()) {
        auto& calls = state.adapters[std::string(adapter)];
        calls.running = std::max(calls.running - 1, 0);
        should_notify = state.status && state.status->is_short_of_slots && !calls.is_requested(now);
    }
    if (result == call_result::refused) {
        return should_notify;
    }
    const bool is_failure = result == call_result::failure;
    state.failure_rate += failure_smoothing * ((is_failure ? 1.0 : 0.0) - state.failure_rate);
    if (!is_failure) {
        state.consecutive_failures = 0;
        state.ejection = {};
        return should_notify;
    }
    if (++state.consecutive_failures >= failures_before_ejection && now >= state.ejected_until) {
        state.ejection = std::clamp<duration>(2 * state.ejection, initial_ejection, max_ejection);
        state.ejected_until = now + state.ejection;
    }
    return should_notify;
}

bool upstream_table::on_pause(const upstream_id& id, duration interval, time_point now)
{
    const auto found = states_.find(id);
    if (found == states_.end() || now - found->second.pause_reported_at < interval) {
        return false;
    }
    found->second.pause_reported_at = now;
    return true;
}

void upstream_table::on_adapter_missing(const upstream_id& id, std::string_view adapter)
{
    const auto found = states_.find(id);
    if (found != states_.end() && found->second.status) {
        found->second.status->adapters.erase(std::string(adapter));
    }
}

void upstream_table::on_adapter_wait(const upstream_id& id, std::string_view adapter,
                                     time_point timely_until)
{
    const auto found = states_.find(id);
    if (found != states_.end() && !adapter.empty()) {
        auto& calls = found->second.adapters[std::string(adapter)];
        ++calls.waiting;
        calls.timely_until = std::max(calls.timely_until, timely_until);
    }
}

void upstream_table::on_adapter_wait_ended(const upstream_id& id, std::string_view adapter)
{
    const auto found = states_.find(id);
    if (found != states_.end() && !adapter.empty()) {
        auto& calls = found->second.adapters[std::string(adapter)];
        calls.waiting = std::max(calls.waiting - 1, 0);
        if (calls.waiting == 0) {
            calls.timely_until = {};
        }
    }
}

bool upstream_table::on_replica_requested(const upstream_id& id, std::string_view adapter,
                                          time_point now)
{
    const auto found = states_.find(id);
    if (found == states_.end()) {
        return false;
    }
    auto& calls = found->second.adapters[std::string(adapter)];
    const bool should_notify = !calls.is_requested(now);
    calls.requested_until = now + replica_request_lifetime;
    return should_notify;
}

void upstream_table::on_uses_stated(const upstream_id& id)
{
    if (const auto found = states_.find(id); found != states_.end()) {
        for (auto& [name, calls] : found->second.adapters) {
            calls.begun = 0;
        }
    }
}

void upstream_table::on_tick(time_point now)
{
    for (auto& [id, state] : states_) {
        std::erase_if(state.adapters, [&](const auto& item) { return !item.second.has_news(now); });
    }
    std::erase_if(serving_versions_, [&](const auto& item) { return now >= item.second.second; });
    std::erase_if(last_statuses_, [&](const auto& item) {
        return now - item.second.received_at > kept_status_lifetime;
    });
    std::erase_if(former_, [&](const auto& item) { return now >= item.second.expires; });
    const auto dropped = std::erase_if(states_, [&](const auto& item) {
        const auto& state = item.second;
        const bool is_gone = state.removal_at && now >= *state.removal_at && state.in_flight == 0;
        if (is_gone) {
            former_[item.first] = {state.entry.process_start_ms,
                                   state.is_leaving || state.entry.is_draining,
                                   now + former_incarnation_lifetime};
        }
        return is_gone;
    });
    membership_ += dropped;
}

const upstream_state* upstream_table::find(const upstream_id& id) const
{
    const auto found = states_.find(id);
    return found == states_.end() ? nullptr : &found->second;
}

bool upstream_table::has_version(const std::string& service, const std::string& software,
                                 time_point now)
{
    auto& [serves, valid_until] = serving_versions_[{service, software}];
    if (now >= valid_until) {
        valid_until = now + version_check_interval;
        serves = std::ranges::any_of(states_, [&](const auto& item) {
            const auto& state = item.second;
            return state.entry.service == service && is_serving(state, now) &&
                   software_of(state) == software;
        });
    }
    return serves;
}

std::optional<std::string> upstream_table::sole_version(const std::string& service,
                                                        time_point now) const
{
    std::set<std::string> listed;
    for (const auto& [id, state] : states_) {
        if (state.entry.service == service) {
            listed.insert(state.entry.software);
        }
    }
    return versions_.sole_version(service, listed, now);
}

} // namespace snipespar::gateway
