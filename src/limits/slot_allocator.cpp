#include "limits/slot_allocator.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace snipespar::limits {

namespace {

// Time between two checks of a group for slots to take or hand over.
constexpr duration check_interval = std::chrono::milliseconds(100);

} // namespace

slot_allocator::slot_allocator(incarnation self, limit_settings settings)
    : self_(std::move(self)), settings_(settings), groups_(settings.group_count)
{
}

const member* slot_allocator::find(const incarnation& process) const
{
    const auto found = std::ranges::find(members_, process, &member::id);
    return found == members_.end() ? nullptr : &*found;
}

bool slot_allocator::active(std::uint32_t group, std::size_t slot) const
{
    return groups_.at(group).active.at(slot);
}

void slot_allocator::set_members(time_point now, std::vector<member> members)
{
    members_ = std::move(members);
    const bool interrupted = now - listed_at_ >= settings_.member_dwell;
    listed_at_ = now;
    std::map<incarnation, time_point> since;
    newest_start_.clear();
    for (const auto& item : members_) {
        const auto known = member_since_.find(item.id);
        since[item.id] = known == member_since_.end() ? now : known->second;
        auto& newest = newest_start_[item.id.host];
        newest = std::max(newest, item.id.start);
        watch(item.id);
    }
    member_since_ = std::move(since);
    for (auto& [host, missing] : missing_since_) {
        if (newest_start_.contains(host)) {
            missing.reset();
        }
        else if (!missing || interrupted) {
            missing = now;
        }
    }
}

void slot_allocator::watch(const incarnation& process)
{
    missing_since_.try_emplace(process.host);
}

void slot_allocator::record_activity(time_point now, const incarnation& process)
{
    auto& missing = missing_since_[process.host];
    if (missing) {
        missing = now;
    }
}

bool slot_allocator::is_removed(const incarnation& process) const
{
    const auto newest = newest_start_.find(process.host);
    if (newest != newest_start_.end()) {
        return newest->second > process.start;
    }
    const auto missing = missing_since_.find(process.host);
    return missing != missing_since_.end() && missing->second &&
           listed_at_ - *missing->second >= settings_.member_dwell;
}

bool slot_allocator::is_free(const group_state& state, std::size_t slot) const
{
    const auto& record = state.known.slots.at(slot);
    if (record.generation == 0) {
        return true;
    }
    if (record.owner == self_) {
        return state.handed_over.at(slot).generation == record.generation;
    }
    return is_removed(record.owner);
}

void slot_allocator::read(time_point now, std::uint32_t group, allocator_effects& effects)
{
    auto& state = groups_.at(group);
    state.operation_outstanding = true;
    state.next_try = now + settings_.table_retry;
    effects.actions.emplace_back(limits::read_table{group, ++state.latest_read});
}

allocator_effects slot_allocator::table_read(time_point now, const limits::read_table& read,
                                             const std::optional<versioned_table>& result)
{
    allocator_effects effects;
    const std::uint32_t group = read.group;
    auto& state = groups_.at(group);
    if (read.number != state.latest_read) {
        return effects;
    }
    state.operation_outstanding = false;
    if (!result) {
        return effects;
    }
    state.version = result->version;
    state.read_required = false;
    apply_table(now, group, result->table, effects);
    if (suspended_) {
        return effects;
    }
    if (const auto slot = slot_to_hand_over(now, group)) {
        hand_over(group, *slot, effects);
    }
    propose(now, group, effects);
    return effects;
}

allocator_effects slot_allocator::table_written(time_point now, std::uint32_t group,
                                                write_outcome outcome)
{
    allocator_effects effects;
    auto& state = groups_.at(group);
    state.operation_outstanding = false;
    state.version.reset();
    if (outcome != write_outcome::unknown) {
        read(now, group, effects);
    }
    return effects;
}

void slot_allocator::apply_table(time_point now, std::uint32_t group, const allocation_table& table,
                                 allocator_effects& effects)
{
    auto& state = groups_.at(group);
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        const auto& seen = table.slots.at(slot);
        if (seen.owner != self_ || seen.generation == 0) {
            const auto handed = state.handed_over.at(slot).generation;
            const bool is_news = seen.generation > state.known.slots.at(slot).generation;
            if (is_news && handed != 0 && handed + 1 == seen.generation) {
                effects.notices.push_back({seen.owner, group});
            }
            update_owner(group, slot, seen, effects);
            continue;
        }
        auto& known = state.known.slots.at(slot);
        if (seen.generation > known.generation) {
            known = seen;
            start_recovery(now, group, slot, effects);
        }
    }
}

bool slot_allocator::update_owner(std::uint32_t group, std::size_t slot, const slot_owner& owner,
                                  allocator_effects& effects)
{
    auto& state = groups_.at(group);
    auto& known = state.known.slots.at(slot);
    if (owner.generation <= known.generation) {
        return owner == known;
    }
    if (owner.owner == self_) {
        // Only a read of the table makes this process an owner.
        state.version.reset();
        state.read_required = true;
        return true;
    }
    const bool superseded = state.active.at(slot) || state.recovering.at(slot);
    effects.replaced = effects.replaced || superseded;
    known = owner;
    watch(owner.owner);
    state.recovering.at(slot).reset();
    state.free_since.at(slot).reset();
    return true;
}

void slot_allocator::start_recovery(time_point now, std::uint32_t group, std::size_t slot,
                                    allocator_effects& effects)
{
    auto& state = groups_.at(group);
    assert(!state.active.at(slot));
    state.free_since.at(slot).reset();
    state.recovering.at(slot) = recovery{now, {}, {}, {}, std::nullopt};
    const auto& handed = state.handed_over.at(slot);
    if (handed.generation != 0 && handed.generation + 1 == state.known.slots.at(slot).generation) {
        state.recovering.at(slot)->borrowers.emplace(handed.lent_to.begin(), handed.lent_to.end());
    }
    recover(now, group, slot, effects);
}

bool slot_allocator::recovered(time_point now, const recovery& current) const
{
    // A process that has just reappeared may still seem removed until `member_dwell` has passed.
    const bool lists_settled = now - current.started >= settings_.member_dwell;
    const auto has_reported = [&](const incarnation& process) {
        return current.reported.contains(process) || (lists_settled && is_removed(process));
    };
    if (current.borrowers) {
        return std::ranges::all_of(*current.borrowers, has_reported);
    }
    return lists_settled && std::ranges::all_of(current.queried, has_reported);
}

void slot_allocator::recover(time_point now, std::uint32_t group, std::size_t slot,
                             allocator_effects& effects)
{
    auto& state = groups_.at(group);
    auto& current = state.recovering.at(slot);
    const std::uint64_t generation = state.known.slots.at(slot).generation;
    const bool first = generation == 1;
    for (const auto& item : members_) {
        if (item.id != self_ && current->queried.insert(item.id).second) {
            effects.claims.push_back({item.id, claim_item{group, slot, generation}});
        }
    }
    if (!first && !recovered(now, *current)) {
        return;
    }
    state.active.at(slot) = true;
    effects.activations.push_back({group, slot, std::move(current->lent), first});
    current.reset();
}

allocator_effects slot_allocator::reported(time_point now, const incarnation& from,
                                           const report_item& report)
{
    allocator_effects effects;
    auto& state = groups_.at(report.group);
    auto& current = state.recovering.at(report.slot);
    if (!current || state.known.slots.at(report.slot).generation != report.generation) {
        return effects;
    }
    if (!current->reported.insert(from).second) {
        return effects;
    }
    for (const auto& item : report.borrowed) {
        current->lent[item.limit][from] = item.capacity;
    }
    if (report.owned_generation != 0 && report.owned_generation + 1 == report.generation) {
        current->borrowers.emplace(report.lent_to.begin(), report.lent_to.end());
    }
    recover(now, report.group, report.slot, effects);
    return effects;
}

void slot_allocator::given_back(const incarnation& from, std::uint32_t group,
                                const give_back_item& item)
{
    const auto& state = groups_.at(group);
    auto& current = groups_.at(group).recovering.at(item.returned.slot);
    const auto& known = state.known.slots.at(item.returned.slot);
    if (!current || known.generation != item.generation || !current->reported.contains(from)) {
        return;
    }
    auto& amount = current->lent[item.limit][from];
    amount = std::max<micro_tokens>(0, amount - item.returned.capacity);
}

void slot_allocator::remove_process(const incarnation& terminated)
{
    for (auto& group : groups_) {
        for (auto& current : group.recovering) {
            if (!current) {
                continue;
            }
            current->queried.erase(terminated);
            for (auto& [limit, lent] : current->lent) {
                lent.erase(terminated);
            }
            if (current->borrowers) {
                current->borrowers->erase(terminated);
            }
        }
    }
}

void slot_allocator::set_lent_to(std::uint32_t group, std::size_t slot,
                                 std::vector<incarnation> borrowers)
{
    groups_.at(group).handed_over.at(slot).lent_to = std::move(borrowers);
}

void slot_allocator::describe_handover(report_item& report) const
{
    const auto& handed = groups_.at(report.group).handed_over.at(report.slot);
    report.owned_generation = handed.generation;
    report.lent_to = handed.lent_to;
}

void slot_allocator::hand_over(std::uint32_t group, std::size_t slot, allocator_effects& effects)
{
    auto& state = groups_.at(group);
    assert(state.active.at(slot));
    state.active.at(slot) = false;
    state.handed_over.at(slot) = handover{state.known.slots.at(slot).generation, {}};
    effects.handovers.push_back({group, slot});
}

std::optional<std::size_t> slot_allocator::slot_to_hand_over(time_point now,
                                                             std::uint32_t group) const
{
    const auto& state = groups_.at(group);
    const auto owned = std::ranges::count(state.active, true);
    const member* own = find(self_);
    const bool leaving = own != nullptr && own->leaving;
    if (owned == 0 || (owned == 1 && !leaving)) {
        return std::nullopt;
    }
    for (std::size_t slot = slot_count; slot-- > 0;) {
        if (!state.active.at(slot)) {
            continue;
        }
        const auto next = candidate(group, slot, state.known, members_);
        if (!next || *next == self_) {
            continue;
        }
        const auto since = member_since_.find(*next);
        if (leaving || now - since->second >= settings_.member_dwell) {
            return slot;
        }
    }
    return std::nullopt;
}

std::vector<member> slot_allocator::members_without_unresponsive_candidates(time_point now,
                                                                            std::uint32_t group,
                                                                            std::size_t slot) const
{
    const auto& state = groups_.at(group);
    std::vector<member> result = members_;
    const duration free = now - *state.free_since.at(slot);
    auto skipped = free / (settings_.member_dwell * 2);
    while (skipped-- > 0 && result.size() > 1) {
        const auto unresponsive = candidate(group, slot, state.known, result);
        std::erase_if(result,
                      [&](const member& item) { return unresponsive && item.id == *unresponsive; });
    }
    return result;
}

void slot_allocator::propose(time_point now, std::uint32_t group, allocator_effects& effects)
{
    auto& state = groups_.at(group);
    if (suspended_ || state.operation_outstanding || !state.version || find(self_) == nullptr) {
        return;
    }
    allocation_table next = state.known;
    allocation_table planned = state.known;
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        if (!is_free(state, slot)) {
            state.free_since.at(slot).reset();
            continue;
        }
        if (!state.free_since.at(slot)) {
            state.free_since.at(slot) = now;
        }
        const auto chosen =
            candidate(group, slot, next, members_without_unresponsive_candidates(now, group, slot));
        auto& record = next.slots.at(slot);
        const bool owned_by_self = record.generation > 0 && record.owner == self_;
        if (chosen && (*chosen == self_ || owned_by_self)) {
            record = slot_owner{record.generation + 1, *chosen};
        }
    }
    if (next == state.known) {
        return;
    }
    state.operation_outstanding = true;
    state.next_try = now + settings_.table_retry;
    effects.actions.emplace_back(limits::write_table{group, next, *state.version});
}

allocator_effects slot_allocator::tick(time_point now)
{
    allocator_effects effects;
    for (std::uint32_t group = 0; group < settings_.group_count; ++group) {
        auto& state = groups_.at(group);
        for (std::size_t slot = 0; slot < slot_count; ++slot) {
            if (state.recovering.at(slot) && !suspended_) {
                recover(now, group, slot, effects);
            }
        }
        if (state.operation_outstanding || now < state.next_try) {
            continue;
        }
        if (!state.version || state.read_required || slot_to_hand_over(now, group)) {
            read(now, group, effects);
            continue;
        }
        state.next_try = now + check_interval;
        propose(now, group, effects);
    }
    return effects;
}

void slot_allocator::suspend(time_point now)
{
    suspended_ = true;
    for (auto& state : groups_) {
        state.read_required = true;
        state.operation_outstanding = false;
        state.next_try = now;
        state.free_since = {};
    }
    for (auto& [host, missing] : missing_since_) {
        missing.reset();
    }
}

bool slot_allocator::tables_read() const
{
    return std::ranges::none_of(groups_, &group_state::read_required);
}

} // namespace snipespar::limits
