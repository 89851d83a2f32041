#pragma once

#include "limits/amount.h"
#include "limits/limit_spec.h"
#include "limits/token_bucket.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <array>
#include <map>
#include <optional>

namespace snipespar::limits {

/// Capacity of one slot that is transferred between two processes, and how much of it is filled.
/// Spent capacity is transferred with level zero.
struct credit {
    std::size_t slot = 0;
    micro_tokens capacity = 0;
    micro_tokens level = 0;

    friend bool operator==(const credit&, const credit&) = default;
};

/// One process's share of one limit: the slots that it owns, less what it lent, plus what it
/// borrowed. Summed over all processes and transfers in flight, the capacity of a slot never
/// exceeds the slot's slice of the limit, and only the slot's owner refills it. A process lends
/// from slots that it owns and never lends on what it borrowed, so a lender can reclaim a
/// terminated borrower's part without involving a third process.
class limit_share {
public:
    limit_share(const limit_spec& spec, time_point now);

    /// Applies a changed limit to the owned slots. A lowered limit takes effect immediately; lent
    /// capacity beyond it is a debt that the next returns settle.
    void set_spec(time_point now, const limit_spec& spec);

    /// Takes ownership of a slot of which other processes hold `lent`. The share of a slot that
    /// never had an owner starts full, any other one empty.
    void activate(time_point now, std::size_t slot, std::map<incarnation, micro_tokens> lent,
                  bool full);

    /// Ends the ownership of a slot. What was not lent becomes borrowed from the slot's next owner.
    void deactivate(time_point now, std::size_t slot);

    /// Lends up to `requested` of the owned slots' free tokens to `borrower`. Returns at most one
    /// credit per slot; the caller must deliver each.
    std::array<credit, slot_count> lend(time_point now, const incarnation& borrower,
                                        micro_tokens requested);

    /// Adds a credit that the slot's owner lent.
    void borrow(time_point now, const credit& lent);

    /// Removes up to `level` of the free tokens and all spent capacity borrowed from `slot` from
    /// the share, for return to the slot's owner.
    credit give_back(time_point now, std::size_t slot, micro_tokens level);

    /// Adds a credit that `borrower` gave back. More than it borrowed is ignored.
    void take_back(time_point now, const incarnation& borrower, const credit& returned);

    /// Takes back, as spent, all that was lent to a terminated process.
    void reclaim_from(time_point now, const incarnation& borrower);

    /// Free tokens that may be lent now.
    micro_tokens lendable(time_point now);

    /// Whether any part of an owned slot is lent to `borrower`.
    bool lent_to(const incarnation& borrower) const;

    /// Every process to which a part of an owned slot is lent, with the amount.
    std::map<incarnation, micro_tokens> borrowers() const;

    bool owns(std::size_t slot) const { return owned_.at(slot).has_value(); }
    micro_tokens borrowed(std::size_t slot) const { return borrowed_.at(slot); }
    const limit_spec& spec() const { return spec_; }
    token_bucket& bucket() { return bucket_; }
    const token_bucket& bucket() const { return bucket_; }

    friend bool operator==(const limit_share&, const limit_share&) = default;

private:
    struct owned_slot {
        std::map<incarnation, micro_tokens> lent;

        micro_tokens total() const;
        friend bool operator==(const owned_slot&, const owned_slot&) = default;
    };

    micro_tokens unlent(std::size_t slot) const;
    void update(time_point now);

    limit_spec spec_;
    token_bucket bucket_;
    std::array<std::optional<owned_slot>, slot_count> owned_;
    std::array<micro_tokens, slot_count> borrowed_{};
};

} // namespace snipespar::limits
