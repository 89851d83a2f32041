#include "limits/limit_share.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace snipespar::limits {

micro_tokens limit_share::owned_slot::total() const
{
    micro_tokens sum = 0;
    for (const auto& [borrower, amount] : lent) {
        sum += amount;
    }
    return sum;
}

limit_share::limit_share(const limit_spec& spec, time_point now)
    : spec_(spec), bucket_(spec.form, now)
{
}

micro_tokens limit_share::unlent(std::size_t slot) const
{
    const auto& owned = owned_.at(slot);
    return owned ? slice(spec_.capacity, slot) - owned->total() : 0;
}

void limit_share::update(time_point now)
{
    micro_tokens rate = 0;
    micro_tokens capacity = 0;
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        capacity += unlent(slot) + borrowed_.at(slot);
        rate += owns(slot) ? slice(spec_.rate_per_s, slot) : 0;
    }
    bucket_.set_capacity(now, capacity);
    if (bucket_.rate_per_s() != rate) {
        bucket_.set_rate(now, rate);
    }
}

void limit_share::set_spec(time_point now, const limit_spec& spec)
{
    assert(spec.id == spec_.id);
    bucket_.refill(now);
    spec_ = spec;
    bucket_.set_form(now, spec.form);
    update(now);
}

void limit_share::activate(time_point now, std::size_t slot,
                           std::map<incarnation, micro_tokens> lent, bool full)
{
    assert(!owns(slot));
    bucket_.refill(now);
    owned_.at(slot) = owned_slot{std::move(lent)};
    borrowed_.at(slot) = 0;
    update(now);
    if (full) {
        bucket_.add_level(now, std::max<micro_tokens>(0, unlent(slot)));
    }
}

void limit_share::deactivate(time_point now, std::size_t slot)
{
    bucket_.refill(now);
    borrowed_.at(slot) += std::max<micro_tokens>(0, unlent(slot));
    owned_.at(slot).reset();
    update(now);
}

micro_tokens limit_share::lendable(time_point now)
{
    bucket_.refill(now);
    micro_tokens own = 0;
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        own += std::max<micro_tokens>(0, unlent(slot));
    }
    return std::min(own, bucket_.level());
}

std::array<credit, slot_count> limit_share::lend(time_point now, const incarnation& borrower,
                                                 micro_tokens requested)
{
    std::array<credit, slot_count> credits;
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        credits.at(slot).slot = slot;
        const micro_tokens amount = std::min(requested, unlent(slot));
        const micro_tokens taken = bucket_.take_level(now, amount);
        if (taken == 0) {
            continue;
        }
        requested -= taken;
        owned_.at(slot)->lent[borrower] += taken;
        credits.at(slot).capacity = taken;
        credits.at(slot).level = taken;
        update(now);
    }
    return credits;
}

void limit_share::borrow(time_point now, const credit& lent)
{
    assert(!owns(lent.slot) && lent.level <= lent.capacity);
    bucket_.refill(now);
    borrowed_.at(lent.slot) += lent.capacity;
    update(now);
    bucket_.add_level(now, lent.level);
}

credit limit_share::give_back(time_point now, std::size_t slot, micro_tokens level)
{
    bucket_.refill(now);
    credit returned;
    returned.slot = slot;
    returned.level = bucket_.take_level(now, std::min(level, borrowed_.at(slot)));
    const micro_tokens free = std::max<micro_tokens>(0, bucket_.room());
    returned.capacity = std::min(borrowed_.at(slot), std::max(returned.level, free));
    borrowed_.at(slot) -= returned.capacity;
    update(now);
    return returned;
}

void limit_share::take_back(time_point now, const incarnation& borrower, const credit& returned)
{
    auto& owned = owned_.at(returned.slot);
    if (!owned) {
        return;
    }
    const auto found = owned->lent.find(borrower);
    if (found == owned->lent.end()) {
        return;
    }
    bucket_.refill(now);
    const micro_tokens capacity = std::min(found->second, returned.capacity);
    found->second -= capacity;
    if (found->second == 0) {
        owned->lent.erase(found);
    }
    update(now);
    bucket_.add_level(now, std::min(returned.level, capacity));
}

void limit_share::reclaim_from(time_point now, const incarnation& borrower)
{
    bucket_.refill(now);
    for (auto& owned : owned_) {
        if (owned) {
            owned->lent.erase(borrower);
        }
    }
    update(now);
}

bool limit_share::lent_to(const incarnation& borrower) const
{
    return std::ranges::any_of(
        owned_, [&](const auto& owned) { return owned && owned->lent.contains(borrower); });
}

std::map<incarnation, micro_tokens> limit_share::borrowers() const
{
    std::map<incarnation, micro_tokens> result;
    for (const auto& owned : owned_) {
        if (!owned) {
            continue;
        }
        for (const auto& [borrower, amount] : owned->lent) {
            result[borrower] += amount;
        }
    }
    return result;
}

} // namespace snipespar::limits
