#include "limits/limit_node.h"

#include "base/stable_hash.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace snipespar::limits {

namespace {

// Maximum number of borrowers that one recall is sent to.
constexpr std::size_t max_recalled_borrowers = 8;
// Peers queried concurrently for the owners of a group.
constexpr std::size_t max_owners_requests = 3;
// Maximum time between two credit rounds for an exhausted limit.
constexpr duration longest_round_interval = std::chrono::milliseconds(40);
// Retry delay after a refusal by a concurrency limit, whose tokens are released as work ends.
constexpr duration concurrency_retry = std::chrono::milliseconds(100);
// Retry delay after a refusal by a process that was paused.
constexpr duration suspension_retry = std::chrono::seconds(1);
// Intervals of recent demand that a borrower retains, and that it requests in advance.
constexpr micro_tokens retained_demand_intervals = 4;
constexpr micro_tokens prefetch_demand_intervals = 2;
// Divisor of a capacity: while there is demand, a smaller give-back is not worth a message.
constexpr micro_tokens min_give_back_divisor = 64;

std::uint64_t hash_of(const incarnation& process)
{
    return combine_hash(stable_hash(process.host.str()), process.start);
}

// Tokens that accrue at a rate over at most a few seconds, rounded down.
micro_tokens accrual(micro_tokens rate_per_s, duration time)
{
    constexpr micro_tokens ms_per_s = 1000;
    constexpr micro_tokens us_per_ms = 1000;
    return rate_per_s / ms_per_s * time.count() / us_per_ms;
}

} // namespace

limit_node::limit_node(incarnation self, limit_settings settings, time_point now)
    : self_(std::move(self)), settings_(settings), allocator_(self_, settings), last_event_(now)
{
}

// Events

limit_actions limit_node::admit(time_point now, request_number request, const limit_id& limit,
                                micro_tokens amount)
{
    limit_actions actions;
    if (!begin_event(now, actions) || suspension_) {
        refuse(request, refusal_reason::suspended, suspension_retry, actions);
        return actions;
    }
    const auto found = limits_.find(limit);
    if (found == limits_.end() || !found->second.configured) {
        refuse(request, refusal_reason::unknown_limit, duration::zero(), actions);
        return actions;
    }
    auto& state = found->second;
    if (amount > state.share.spec().capacity) {
        refuse(request, refusal_reason::larger_than_burst, duration::zero(), actions);
        return actions;
    }
    assert(!reservations_.contains(request));
    state.waiting.push_back({request, amount, now + settings_.longest_wait});
    process_waiting(now, limit, state, actions);
    return actions;
}

micro_tokens limit_node::delivered(time_point now, request_number request, micro_tokens amount)
{
    const auto found = reservations_.find(request);
    if (found == reservations_.end() || suspended(now)) {
        return 0;
    }
    const micro_tokens covered = std::min(amount, found->second.held);
    found->second.held -= covered;
    limits_.at(found->second.limit).share.bucket().deliver(now, covered);
    active_limits_.insert(found->second.limit);
    return covered;
}

limit_actions limit_node::finished(time_point now, request_number request)
{
    limit_actions actions;
    if (!begin_event(now, actions)) {
        return actions;
    }
    const auto found = reservations_.find(request);
    if (found != reservations_.end()) {
        auto& state = limits_.at(found->second.limit);
        state.share.bucket().release(now, found->second.held);
        active_limits_.insert(found->second.limit);
        process_waiting(now, found->second.limit, state, actions);
        lend_unfilled(now, found->second.limit, state, actions);
        reservations_.erase(found);
        return actions;
    }
    for (const auto& limit : active_limits_) {
        std::erase_if(limits_.at(limit).waiting,
                      [&](const waiting_request& item) { return item.request == request; });
    }
    return actions;
}

limit_actions limit_node::received(time_point now, const peer_message& message)
{
    limit_actions actions;
    if (!begin_event(now, actions) || message.to != self_ || message.from.host == self_.host) {
        return actions;
    }
    if (is_closed(message.from)) {
        send(message.from, closed_message{}, actions);
        return actions;
    }
    allocator_.record_activity(now, message.from);
    if (message.from.start > 0) {
        close(now, {message.from.host, message.from.start - 1});
    }
    std::visit([&](const auto& body) { handle(now, message.from, body, actions); }, message.body);
    return actions;
}

limit_actions limit_node::table_read(time_point now, const limits::read_table& read,
                                     const std::optional<versioned_table>& result)
{
    limit_actions actions;
    if (begin_event(now, actions)) {
        apply_effects(now, allocator_.table_read(now, read, result), actions);
    }
    return actions;
}

limit_actions limit_node::table_written(time_point now, std::uint32_t group, write_outcome outcome)
{
    limit_actions actions;
    if (begin_event(now, actions)) {
        apply_effects(now, allocator_.table_written(now, group, outcome), actions);
    }
    return actions;
}

limit_actions limit_node::members_listed(time_point now, std::vector<member> members)
{
    limit_actions actions;
    if (begin_event(now, actions)) {
        allocator_.set_members(now, std::move(members));
        close_removed(now);
    }
    return actions;
}

limit_actions limit_node::limits_changed(time_point now, const std::vector<limit_spec>& specs)
{
    limit_actions actions;
    if (!begin_event(now, actions)) {
        return actions;
    }
    for (auto& [limit, state] : limits_) {
        state.configured = false;
    }
    for (const auto& spec : specs) {
        const bool added = !limits_.contains(spec.id);
        auto& state = state_of(now, spec.id);
        state.configured = true;
        state.share.set_spec(now, spec);
        if (added) {
            fill_initial_share(now, spec.id, state);
        }
    }
    for (auto& [limit, state] : limits_) {
        if (!state.configured) {
            state.share.set_spec(now, limit_spec{limit, limit_form::rate, 0, 0});
            active_limits_.insert(limit);
        }
    }
    return actions;
}

limit_actions limit_node::tick(time_point now)
{
    limit_actions actions;
    if (!begin_event(now, actions)) {
        return actions;
    }
    apply_effects(now, allocator_.tick(now), actions);
    check_suspension(now, actions);
    if (stopped_) {
        return actions;
    }
    for (auto& [peer, stream] : peers_) {
        for (auto& batch : stream.due(now)) {
            ++counters_.resent_batches;
            send(peer, std::move(batch), actions);
        }
    }
    const std::vector<limit_id> active_limits(active_limits_.begin(), active_limits_.end());
    for (const auto& limit : active_limits) {
        auto& state = limits_.at(limit);
        active_limits_.erase(limit);
        process_waiting(now, limit, state, actions);
        lend_unfilled(now, limit, state, actions);
        return_idle(now, limit, state, actions);
    }
    return actions;
}

bool limit_node::suspended(time_point now) const
{
    return stopped_ || suspension_ || now - last_event_ > settings_.longest_gap;
}

// Pauses

bool limit_node::begin_event(time_point now, limit_actions& actions)
{
    if (stopped_) {
        return false;
    }
    if (now - last_event_ > settings_.longest_gap) {
        suspend(now, actions);
    }
    last_event_ = std::max(last_event_, now);
    return true;
}

void limit_node::suspend(time_point now, limit_actions& actions)
{
    suspension current{++pauses_, now, {}, {}};
    for (std::uint32_t group = 0; group < settings_.group_count; ++group) {
        current.tables.push_back(allocator_.table(group));
    }
    if (suspension_) {
        current.tables = suspension_->tables;
    }
    for (auto& [limit, state] : limits_) {
        for (const auto& item : state.waiting) {
            refuse(item.request, refusal_reason::suspended, suspension_retry, actions);
        }
        state.waiting.clear();
        state.round.reset();
        state.unfilled.clear();
    }
    for (const auto& [peer, stream] : peers_) {
        current.outstanding_peers.insert(peer);
        send(peer, resume_request{current.pause}, actions);
    }
    actions.emplace_back(deliveries_suspended{});
    allocator_.suspend(now);
    suspension_ = std::move(current);
}

void limit_node::check_suspension(time_point now, limit_actions& actions)
{
    if (!suspension_ || stopped_) {
        return;
    }
    std::erase_if(suspension_->outstanding_peers,
                  [&](const incarnation& peer) { return allocator_.is_removed(peer); });
    if (suspension_->outstanding_peers.empty() && allocator_.tables_read()) {
        if (borrows_from_reassigned_slot()) {
            stop(actions);
            return;
        }
        suspension_.reset();
        allocator_.confirm();
        actions.emplace_back(deliveries_resumed{});
        return;
    }
    if (now - suspension_->since > settings_.longest_suspension) {
        stop(actions);
        return;
    }
    for (const auto& peer : suspension_->outstanding_peers) {
        send(peer, resume_request{suspension_->pause}, actions);
    }
}

bool limit_node::borrows_from_reassigned_slot() const
{
    for (const auto& [limit, state] : limits_) {
        const std::uint32_t group = group_of(limit);
        for (std::size_t slot = 0; slot < slot_count; ++slot) {
            const auto& before = suspension_->tables.at(group).slots.at(slot);
            const auto& after = allocator_.table(group).slots.at(slot);
            if (before != after && state.share.borrowed(slot) > 0) {
                return true;
            }
        }
    }
    return false;
}

void limit_node::stop(limit_actions& actions)
{
    stopped_ = true;
    for (auto& [limit, state] : limits_) {
        for (const auto& item : state.waiting) {
            refuse(item.request, refusal_reason::suspended, suspension_retry, actions);
        }
        state.waiting.clear();
    }
    actions.emplace_back(restart_required{});
}

// Admission

std::uint32_t limit_node::group_of(const limit_id& limit) const
{
    return static_cast<std::uint32_t>(stable_hash(limit.str()) % settings_.group_count);
}

limit_node::limit_state& limit_node::state_of(time_point now, const limit_id& limit)
{
    return state_of(now, limit, slot_count);
}

limit_node::limit_state& limit_node::state_of(time_point now, const limit_id& limit,
                                              std::size_t skipped_slot)
{
    const auto found = limits_.find(limit);
    if (found != limits_.end()) {
        return found->second;
    }
    const limit_spec none{limit, limit_form::rate, 0, 0};
    auto& state = limits_.emplace(limit, limit_state(none, now)).first->second;
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        if (slot != skipped_slot && allocator_.active(group_of(limit), slot)) {
            state.share.activate(now, slot, {}, false);
        }
    }
    return state;
}

void limit_node::fill_initial_share(time_point now, const limit_id& limit, limit_state& state)
{
    const std::uint32_t group = group_of(limit);
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        const bool first_owner = allocator_.table(group).slots.at(slot).generation == 1;
        if (first_owner && state.share.owns(slot)) {
            state.share.bucket().add_level(now, slice(state.share.spec().capacity, slot));
        }
    }
}

std::vector<incarnation> limit_node::owners(std::uint32_t group) const
{
    std::vector<incarnation> result;
    for (const auto& slot : allocator_.table(group).slots) {
        if (slot.generation == 0 || slot.owner == self_ || is_closed(slot.owner)) {
            continue;
        }
        if (std::ranges::find(result, slot.owner) == result.end()) {
            result.push_back(slot.owner);
        }
    }
    if (!result.empty()) {
        const auto shift = static_cast<std::ptrdiff_t>(hash_of(self_) % result.size());
        std::ranges::rotate(result, result.begin() + shift);
    }
    return result;
}

bool limit_node::yields_to(const limit_id& limit, const limit_state& state,
                           const incarnation& other) const
{
    if (state.waiting.empty()) {
        return true;
    }
    const std::uint64_t key = stable_hash(limit.str());
    return combine_hash(key, hash_of(other)) < combine_hash(key, hash_of(self_));
}

micro_tokens limit_node::total_shortfall(const limit_state& state)
{
    micro_tokens sum = 0;
    for (const auto& item : state.waiting) {
        sum += item.amount;
    }
    sum = std::min(sum, state.share.spec().capacity);
    return std::max<micro_tokens>(0, sum - state.share.bucket().level());
}

duration limit_node::refill_time(const limit_state& state, micro_tokens amount)
{
    const auto& spec = state.share.spec();
    if (spec.form == limit_form::concurrency || spec.rate_per_s == 0) {
        return concurrency_retry;
    }
    constexpr micro_tokens ms_per_s = 1000;
    const micro_tokens ms = amount / (spec.rate_per_s / ms_per_s + 1) + 1;
    return std::chrono::milliseconds(ms);
}

bool limit_node::can_refill_in_time(time_point now, const limit_state& state)
{
    const auto& front = state.waiting.front();
    const auto& bucket = state.share.bucket();
    const micro_tokens shortfall = front.amount - bucket.level();
    if (bucket.room() < shortfall || bucket.rate_per_s() == 0 || now >= front.deadline) {
        return false;
    }
    return accrual(bucket.rate_per_s(), front.deadline - now) >= shortfall;
}

void limit_node::refuse(request_number request, refusal_reason reason, duration retry_after,
                        limit_actions& actions)
{
    switch (reason) {
    case refusal_reason::over_limit:
        ++counters_.refused_over_limit;
        break;
    case refusal_reason::larger_than_burst:
        ++counters_.refused_larger_than_burst;
        break;
    case refusal_reason::unknown_limit:
        ++counters_.refused_unknown_limit;
        break;
    case refusal_reason::suspended:
        ++counters_.refused_suspended;
        break;
    }
    actions.emplace_back(refused{request, reason, retry_after});
}

void limit_node::grant_waiting(time_point now, limit_state& state, limit_actions& actions)
{
    while (!state.waiting.empty()) {
        const auto& front = state.waiting.front();
        if (!state.share.bucket().reserve(now, front.amount)) {
            return;
        }
        ++counters_.granted;
        state.admitted += front.amount;
        reservations_[front.request] = {state.share.spec().id, front.amount};
        actions.emplace_back(granted{front.request});
        state.waiting.pop_front();
    }
}

void limit_node::refuse_front(time_point now, limit_state& state, limit_actions& actions)
{
    const auto& front = state.waiting.front();
    const micro_tokens shortfall = front.amount - state.share.bucket().level();
    refuse(front.request, refusal_reason::over_limit, refill_time(state, shortfall), actions);
    state.waiting.pop_front();
    grant_waiting(now, state, actions);
}

void limit_node::process_waiting(time_point now, const limit_id& limit, limit_state& state,
                                 limit_actions& actions)
{
    if (suspension_ || stopped_) {
        return;
    }
    grant_waiting(now, state, actions);
    if (state.round && state.round->queried_owner && now >= state.round->answer_due) {
        state.round->queried_owner.reset();
    }
    if (!state.waiting.empty() && state.round && !state.round->queried_owner) {
        query_next_owner(now, limit, state, actions);
    }
    if (state.round && !state.round->queried_owner && state.round->owners.empty() &&
        now >= state.round->more_until) {
        finish_round(now, state, actions);
    }
    while (!state.waiting.empty() && now >= state.waiting.front().deadline) {
        refuse_front(now, state, actions);
    }
    if (state.waiting.empty()) {
        state.round.reset();
    }
    else if (!state.round && now >= state.next_round) {
        start_round(now, limit, state, actions);
    }
    active_limits_.insert(limit);
}

void limit_node::start_round(time_point now, const limit_id& limit, limit_state& state,
                             limit_actions& actions)
{
    state.next_round = now + settings_.round_interval;
    const std::uint32_t group = group_of(limit);
    const auto& slots = allocator_.table(group).slots;
    if (std::ranges::all_of(slots, [](const auto& slot) { return slot.generation == 0; })) {
        request_owners(now, group, actions);
        return;
    }
    credit_round round{++rounds_, owners(group), std::nullopt, now, now};
    std::ranges::reverse(round.owners);
    if (recall(now, limit, state, self_, actions)) {
        round.more_until = now + settings_.recall_wait;
    }
    state.round = std::move(round);
    for (auto& item : state.waiting) {
        item.in_round = true;
    }
    query_next_owner(now, limit, state, actions);
    if (!state.round->queried_owner && now >= state.round->more_until) {
        finish_round(now, state, actions);
    }
}

void limit_node::query_next_owner(time_point now, const limit_id& limit, limit_state& state,
                                  limit_actions& actions)
{
    auto& round = *state.round;
    const micro_tokens needed = total_shortfall(state);
    if (round.owners.empty() || needed == 0) {
        return;
    }
    round.queried_owner = round.owners.back();
    round.owners.pop_back();
    round.answer_due = now + settings_.answer_timeout;
    ++counters_.credit_requests;
    const micro_tokens wanted = needed + state.demand * prefetch_demand_intervals;
    send(*round.queried_owner, credit_request{round.number, limit, needed, wanted}, actions);
}

void limit_node::finish_round(time_point now, limit_state& state, limit_actions& actions)
{
    const micro_tokens shortfall = total_shortfall(state);
    state.next_round = now + std::clamp<duration>(refill_time(state, shortfall),
                                                  settings_.round_interval, longest_round_interval);
    while (!state.waiting.empty() && state.waiting.front().in_round &&
           !can_refill_in_time(now, state)) {
        refuse_front(now, state, actions);
    }
    state.round.reset();
}

void limit_node::request_owners(time_point now, std::uint32_t group, limit_actions& actions)
{
    if (now < next_owners_request_) {
        return;
    }
    next_owners_request_ = now + settings_.answer_timeout;
    const auto& members = allocator_.members();
    const std::size_t start = ++rounds_;
    for (std::size_t i = 0; i < std::min(members.size(), max_owners_requests); ++i) {
        const auto& peer = members.at((start + i) % members.size()).id;
        if (peer != self_) {
            send(peer, owners_request{group}, actions);
        }
    }
}

// Lending and giving back

bool limit_node::reachable(const incarnation& to) const
{
    const auto found = peers_.find(to);
    return !is_closed(to) && (found == peers_.end() || !found->second.congested());
}

micro_tokens limit_node::lend(time_point now, const limit_id& limit, limit_state& state,
                              const incarnation& borrower, micro_tokens amount,
                              limit_actions& actions)
{
    if (amount <= 0 || !reachable(borrower)) {
        return 0;
    }
    micro_tokens sum = 0;
    std::vector<channel_item> items;
    const auto& slots = allocator_.table(group_of(limit)).slots;
    for (const auto& lent : state.share.lend(now, borrower, amount)) {
        if (lent.capacity > 0) {
            items.emplace_back(lend_item{limit, slots.at(lent.slot).generation, lent});
            sum += lent.level;
        }
    }
    if (!items.empty()) {
        ++counters_.lends;
        push(now, borrower, std::move(items), actions);
    }
    return sum;
}

void limit_node::lend_unfilled(time_point now, const limit_id& limit, limit_state& state,
                               limit_actions& actions)
{
    while (!state.unfilled.empty() && !suspension_ && !stopped_) {
        auto& front = state.unfilled.front();
        if (now >= front.until || is_closed(front.from)) {
            state.unfilled.pop_front();
            continue;
        }
        const micro_tokens free = state.share.lendable(now);
        front.needed -= lend(now, limit, state, front.from, std::min(free, front.needed), actions);
        if (front.needed > 0) {
            active_limits_.insert(limit);
            return;
        }
        state.unfilled.pop_front();
    }
}

bool limit_node::recall(time_point now, const limit_id& limit, limit_state& state,
                        const incarnation& beneficiary, limit_actions& actions)
{
    std::vector<std::pair<micro_tokens, incarnation>> borrowers;
    for (const auto& [borrower, amount] : state.share.borrowers()) {
        if (borrower != beneficiary && reachable(borrower)) {
            borrowers.emplace_back(amount, borrower);
        }
    }
    if (borrowers.empty() || now < state.next_recall) {
        return !borrowers.empty();
    }
    state.next_recall = now + settings_.answer_timeout;
    const auto count = std::min(borrowers.size(), max_recalled_borrowers);
    std::ranges::partial_sort(borrowers, borrowers.begin() + static_cast<std::ptrdiff_t>(count),
                              std::greater{});
    for (std::size_t i = 0; i < count; ++i) {
        ++counters_.recalls;
        send(borrowers.at(i).second, recall_message{limit, beneficiary}, actions);
    }
    return true;
}

void limit_node::give_back(time_point now, const limit_id& limit, limit_state& state,
                           std::size_t slot, micro_tokens level, limit_actions& actions)
{
    const auto& record = allocator_.table(group_of(limit)).slots.at(slot);
    if (record.owner == self_ || !reachable(record.owner)) {
        return;
    }
    const credit returned = state.share.give_back(now, slot, level);
    if (returned.capacity > 0) {
        ++counters_.give_backs;
        push(now, record.owner, {give_back_item{limit, record.generation, returned}}, actions);
    }
}

void limit_node::return_idle(time_point now, const limit_id& limit, limit_state& state,
                             limit_actions& actions)
{
    micro_tokens borrowed = 0;
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        borrowed += state.share.borrowed(slot);
    }
    const bool idle = state.waiting.empty() && state.admitted == 0 && state.demand == 0;
    if (borrowed > 0 || !idle) {
        active_limits_.insert(limit);
    }
    if (now < state.next_return || suspension_ || stopped_) {
        return;
    }
    state.next_return = now + settings_.return_interval;
    state.demand = (state.demand + state.admitted) / 2;
    state.admitted = 0;
    state.share.bucket().refill(now);
    const micro_tokens kept = state.demand * retained_demand_intervals;
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        const micro_tokens spare = state.share.bucket().level() - kept;
        const micro_tokens level = state.waiting.empty() ? std::max<micro_tokens>(0, spare) : 0;
        const micro_tokens min_amount = state.share.spec().capacity / min_give_back_divisor;
        const micro_tokens amount =
            std::min(state.share.borrowed(slot), level + state.share.bucket().room());
        if (amount > 0 && (state.demand == 0 || amount >= min_amount)) {
            give_back(now, limit, state, slot, level, actions);
        }
    }
}

// Messages

void limit_node::handle(time_point now, const incarnation& from, const batch_message& message,
                        limit_actions& actions)
{
    auto& stream = channel(from);
    const auto ready = stream.accept(message);
    send(from, stream.acknowledgement(), actions);
    for (const auto& batch : ready) {
        for (const auto& item : batch.items) {
            if (!stopped_) {
                std::visit([&](const auto& value) { apply(now, from, value, actions); }, item);
            }
        }
    }
}

void limit_node::handle(time_point now, const incarnation& from, const ack_message& message,
                        limit_actions& /*actions*/)
{
    const auto found = peers_.find(from);
    if (found != peers_.end()) {
        found->second.acknowledged(now, message);
    }
}

void limit_node::handle(time_point now, const incarnation& from, const credit_request& message,
                        limit_actions& actions)
{
    if (suspension_) {
        return;
    }
    const std::uint32_t group = group_of(message.limit);
    auto& state = state_of(now, message.limit);
    bool owner = false;
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        owner = owner || state.share.owns(slot);
    }
    credit_answer answer{message.request, message.limit, 0, false};
    if (!owner) {
        send(from, owners_message{group, allocator_.table(group)}, actions);
        send(from, answer, actions);
        return;
    }
    const micro_tokens free = yields_to(message.limit, state, from) ? state.share.lendable(now) : 0;
    const micro_tokens extra = std::max<micro_tokens>(0, free - message.needed) / 2;
    const micro_tokens amount =
        std::min({free, message.needed + extra, std::max(message.wanted, message.needed)});
    const micro_tokens lent = lend(now, message.limit, state, from, amount, actions);
    answer.sequence = channel(from).last_pushed();
    const micro_tokens unfilled = message.needed - lent;
    if (unfilled > 0) {
        const bool recalled = recall(now, message.limit, state, from, actions);
        const auto& bucket = state.share.bucket();
        const micro_tokens soon = accrual(bucket.rate_per_s(), settings_.recall_wait);
        answer.more_may_follow = recalled || std::min(soon, bucket.room()) >= unfilled;
    }
    if (answer.more_may_follow) {
        std::erase_if(state.unfilled,
                      [&](const unfilled_request& item) { return item.from == from; });
        state.unfilled.push_back({from, unfilled, now + settings_.recall_wait});
        active_limits_.insert(message.limit);
    }
    send(from, answer, actions);
}

void limit_node::handle(time_point now, const incarnation& from, const credit_answer& message,
                        limit_actions& actions)
{
    const auto found = limits_.find(message.limit);
    if (found == limits_.end() || !found->second.round) {
        return;
    }
    auto& round = *found->second.round;
    if (round.number != message.request || round.queried_owner != from) {
        return;
    }
    round.queried_owner.reset();
    const bool overtook_credit = channel(from).acknowledgement().sequence < message.sequence;
    if (message.more_may_follow || overtook_credit) {
        round.more_until = now + settings_.recall_wait;
    }
    process_waiting(now, message.limit, found->second, actions);
}

void limit_node::handle(time_point now, const incarnation& from, const recall_message& message,
                        limit_actions& actions)
{
    const auto found = limits_.find(message.limit);
    if (found == limits_.end() || suspension_) {
        return;
    }
    auto& state = found->second;
    if (!yields_to(message.limit, state, message.beneficiary)) {
        return;
    }
    const auto& slots = allocator_.table(group_of(message.limit)).slots;
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        if (slots.at(slot).owner == from) {
            give_back(now, message.limit, state, slot, state.share.borrowed(slot), actions);
        }
    }
}

void limit_node::handle(time_point /*now*/, const incarnation& from, const owners_request& message,
                        limit_actions& actions)
{
    if (message.group < settings_.group_count) {
        send(from, owners_message{message.group, allocator_.table(message.group)}, actions);
    }
}

void limit_node::handle(time_point now, const incarnation& /*from*/, const owners_message& message,
                        limit_actions& actions)
{
    if (message.group >= settings_.group_count) {
        return;
    }
    allocator_effects effects;
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        allocator_.update_owner(message.group, slot, message.table.slots.at(slot), effects);
    }
    apply_effects(now, std::move(effects), actions);
}

void limit_node::handle(time_point /*now*/, const incarnation& from, const resume_request& message,
                        limit_actions& actions)
{
    send(from, resume_answer{message.pause}, actions);
}

void limit_node::handle(time_point now, const incarnation& from, const resume_answer& message,
                        limit_actions& actions)
{
    if (suspension_ && suspension_->pause == message.pause) {
        suspension_->outstanding_peers.erase(from);
        check_suspension(now, actions);
    }
}

void limit_node::handle(time_point /*now*/, const incarnation& /*from*/,
                        const closed_message& /*message*/, limit_actions& actions)
{
    stop(actions);
}

// Channel items

void limit_node::apply(time_point now, const incarnation& from, const lend_item& item,
                       limit_actions& actions)
{
    allocator_effects effects;
    const std::uint32_t group = group_of(item.limit);
    const slot_owner owner{item.generation, from};
    const bool current = allocator_.update_owner(group, item.lent.slot, owner, effects);
    apply_effects(now, std::move(effects), actions);
    if (!current || stopped_) {
        return;
    }
    auto& state = state_of(now, item.limit);
    state.share.borrow(now, item.lent);
    process_waiting(now, item.limit, state, actions);
}

void limit_node::apply(time_point now, const incarnation& from, const give_back_item& item,
                       limit_actions& actions)
{
    const std::uint32_t group = group_of(item.limit);
    const slot_owner& known = allocator_.table(group).slots.at(item.returned.slot);
    if (known.owner != self_ || known.generation != item.generation) {
        return;
    }
    if (!allocator_.active(group, item.returned.slot)) {
        allocator_.given_back(from, group, item);
        return;
    }
    auto& state = state_of(now, item.limit);
    state.share.take_back(now, from, item.returned);
    process_waiting(now, item.limit, state, actions);
    lend_unfilled(now, item.limit, state, actions);
}

void limit_node::apply(time_point now, const incarnation& from, const claim_item& item,
                       limit_actions& actions)
{
    if (item.group >= settings_.group_count) {
        return;
    }
    allocator_effects effects;
    const bool current =
        allocator_.update_owner(item.group, item.slot, slot_owner{item.generation, from}, effects);
    apply_effects(now, std::move(effects), actions);
    if (!current || stopped_) {
        return;
    }
    report_item report{item.group, item.slot, item.generation, {}, 0, {}};
    for (const auto& [limit, state] : limits_) {
        if (group_of(limit) == item.group && state.share.borrowed(item.slot) > 0) {
            report.borrowed.push_back({limit, state.share.borrowed(item.slot)});
        }
    }
    allocator_.describe_handover(report);
    push(now, from, {std::move(report)}, actions);
}

void limit_node::apply(time_point now, const incarnation& from, const report_item& item,
                       limit_actions& actions)
{
    if (item.group < settings_.group_count) {
        apply_effects(now, allocator_.reported(now, from, item), actions);
    }
}

// Owners and peers

void limit_node::apply_effects(time_point now, allocator_effects effects, limit_actions& actions)
{
    if (effects.replaced) {
        stop(actions);
        return;
    }
    for (const auto& change : effects.handovers) {
        deactivate(now, change);
    }
    for (const auto& item : effects.claims) {
        push(now, item.to, {item.claim}, actions);
    }
    for (const auto& change : effects.activations) {
        activate(now, change, actions);
    }
    for (const auto& notice : effects.notices) {
        send(notice.to, owners_message{notice.group, allocator_.table(notice.group)}, actions);
    }
    std::ranges::move(effects.actions, std::back_inserter(actions));
}

void limit_node::deactivate(time_point now, const slot_handover& change)
{
    std::set<incarnation> lent_to;
    for (auto& [limit, state] : limits_) {
        if (group_of(limit) != change.group) {
            continue;
        }
        for (const auto& [borrower, amount] : state.share.borrowers()) {
            lent_to.insert(borrower);
        }
        state.share.deactivate(now, change.slot);
        active_limits_.insert(limit);
    }
    allocator_.set_lent_to(change.group, change.slot, {lent_to.begin(), lent_to.end()});
}

void limit_node::activate(time_point now, const slot_activation& change, limit_actions& actions)
{
    for (const auto& [limit, lent] : change.lent) {
        state_of(now, limit, change.slot);
    }
    for (auto& [limit, state] : limits_) {
        if (group_of(limit) != change.group) {
            continue;
        }
        const auto found = change.lent.find(limit);
        auto lent =
            found == change.lent.end() ? std::map<incarnation, micro_tokens>{} : found->second;
        std::erase_if(lent, [](const auto& item) { return item.second == 0; });
        state.share.activate(now, change.slot, std::move(lent), change.first);
        process_waiting(now, limit, state, actions);
    }
}

bool limit_node::is_closed(const incarnation& process) const
{
    const auto found = closed_.find(process.host);
    return found != closed_.end() && process.start <= found->second;
}

void limit_node::close(time_point now, const incarnation& process)
{
    auto& closed = closed_[process.host];
    if (process.start <= closed) {
        return;
    }
    closed = process.start;
    std::vector<incarnation> terminated;
    for (const auto& [peer, stream] : peers_) {
        if (peer.host == process.host && peer.start <= process.start) {
            terminated.push_back(peer);
        }
    }
    for (const auto& peer : terminated) {
        peers_.erase(peer);
        allocator_.remove_process(peer);
        for (auto& [limit, state] : limits_) {
            state.share.reclaim_from(now, peer);
        }
        if (suspension_) {
            suspension_->outstanding_peers.erase(peer);
        }
    }
}

void limit_node::close_removed(time_point now)
{
    if (suspension_) {
        return;
    }
    std::vector<incarnation> removed;
    for (const auto& [peer, stream] : peers_) {
        if (allocator_.is_removed(peer)) {
            removed.push_back(peer);
        }
    }
    for (const auto& peer : removed) {
        close(now, peer);
    }
}

peer_channel& limit_node::channel(const incarnation& to)
{
    allocator_.watch(to);
    return peers_[to];
}

void limit_node::push(time_point now, const incarnation& to, std::vector<channel_item> items,
                      limit_actions& actions)
{
    if (!is_closed(to)) {
        send(to, channel(to).push(now, std::move(items)), actions);
    }
}

void limit_node::send(const incarnation& to, message_body body, limit_actions& actions) const
{
    actions.emplace_back(send_message{peer_message{self_, to, std::move(body)}});
}

// Reports

std::vector<limit_level> limit_node::report() const
{
    std::vector<limit_level> result;
    for (const auto& [limit, state] : limits_) {
        const auto& bucket = state.share.bucket();
        limit_level level{limit, bucket.capacity(), bucket.level(), bucket.held(), 0, 0, 0};
        for (const auto& [borrower, amount] : state.share.borrowers()) {
            level.lent += amount;
        }
        for (std::size_t slot = 0; slot < slot_count; ++slot) {
            level.borrowed += state.share.borrowed(slot);
            level.slots_owned += state.share.owns(slot) ? 1 : 0;
        }
        result.push_back(level);
    }
    return result;
}

} // namespace snipespar::limits
