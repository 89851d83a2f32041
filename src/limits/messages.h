#pragma once

#include "limits/allocation_table.h"
#include "limits/amount.h"
#include "limits/limit_share.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace snipespar::limits {

/// Part of an owned slot, lent by the slot's owner.
struct lend_item {
    limit_id limit;
    std::uint64_t generation = 0;
    credit lent;

    friend bool operator==(const lend_item&, const lend_item&) = default;
};

/// Part of a slot, returned to the slot's owner.
struct give_back_item {
    limit_id limit;
    std::uint64_t generation = 0;
    credit returned;

    friend bool operator==(const give_back_item&, const give_back_item&) = default;
};

/// Notifies the receiver that the sender owns a slot and requests a report of what it holds of it.
struct claim_item {
    std::uint32_t group = 0;
    std::size_t slot = 0;
    std::uint64_t generation = 0;

    friend bool operator==(const claim_item&, const claim_item&) = default;
};

/// Capacity that one process holds of one limit's slot.
struct borrowed_amount {
    limit_id limit;
    micro_tokens capacity = 0;

    friend bool operator==(const borrowed_amount&, const borrowed_amount&) = default;
};

/// Answer to a claim: everything that the sender holds of the slot, for every limit of the group.
/// From then on, the sender accepts and returns credits of this slot under the new generation only.
struct report_item {
    std::uint32_t group = 0;
    std::size_t slot = 0;
    std::uint64_t generation = 0;
    std::vector<borrowed_amount> borrowed;
    /// Generation under which the sender owned the whole slot until it handed it over voluntarily;
    /// 0 if it did not. `lent_to` then lists every other process that may hold part of the slot.
    std::uint64_t owned_generation = 0;
    std::vector<incarnation> lent_to;

    friend bool operator==(const report_item&, const report_item&) = default;
};

/// An item that must be applied exactly once and in order.
using channel_item = std::variant<lend_item, give_back_item, claim_item, report_item>;

/// Items with their sequence number in the stream from one process to another.
struct batch_message {
    std::uint64_t sequence = 0;
    std::vector<channel_item> items;

    friend bool operator==(const batch_message&, const batch_message&) = default;
};

/// Every batch up to `sequence` was applied.
struct ack_message {
    std::uint64_t sequence = 0;

    friend bool operator==(const ack_message&, const ack_message&) = default;
};

/// Requests tokens from a slot's owner. Transfers nothing itself, so it may be lost or duplicated.
struct credit_request {
    std::uint64_t request = 0;
    limit_id limit;
    /// Tokens that the waiting requests are short of.
    micro_tokens needed = 0;
    /// Upper bound of the credit, at least `needed`; the rest is for expected demand.
    micro_tokens wanted = 0;

    friend bool operator==(const credit_request&, const credit_request&) = default;
};

/// Answer to a credit request; any lent credit is sent over the channel.
struct credit_answer {
    std::uint64_t request = 0;
    limit_id limit;
    /// Last batch on the channel to the receiver when the answer was sent.
    std::uint64_t sequence = 0;
    /// Whether the owner may lend more shortly, from tokens recalled from other borrowers or
    /// refilled.
    bool more_may_follow = false;

    friend bool operator==(const credit_answer&, const credit_answer&) = default;
};

/// Requests a borrower to give back free tokens immediately, as `beneficiary` is short of them.
struct recall_message {
    limit_id limit;
    incarnation beneficiary;

    friend bool operator==(const recall_message&, const recall_message&) = default;
};

/// Queries the owners of a group's slots that the receiver knows.
struct owners_request {
    std::uint32_t group = 0;

    friend bool operator==(const owners_request&, const owners_request&) = default;
};

/// The owners that the sender knows of a group's slots.
struct owners_message {
    std::uint32_t group = 0;
    allocation_table table;

    friend bool operator==(const owners_message&, const owners_message&) = default;
};

/// Asks, after a pause of the sender, whether the receiver still considers it running.
struct resume_request {
    std::uint64_t pause = 0;

    friend bool operator==(const resume_request&, const resume_request&) = default;
};

/// The sender considers the receiver running.
struct resume_answer {
    std::uint64_t pause = 0;

    friend bool operator==(const resume_answer&, const resume_answer&) = default;
};

/// The sender has reclaimed everything held by the receiver, which was reported as terminated. The
/// receiver must restart as a new incarnation.
struct closed_message {
    friend bool operator==(const closed_message&, const closed_message&) = default;
};

using message_body =
    std::variant<batch_message, ack_message, credit_request, credit_answer, recall_message,
                 owners_request, owners_message, resume_request, resume_answer, closed_message>;

/// A message between incarnations of two processes. One that is addressed to an earlier incarnation
/// of its receiver is dropped.
struct peer_message {
    incarnation from;
    incarnation to;
    message_body body;

    friend bool operator==(const peer_message&, const peer_message&) = default;
};

} // namespace snipespar::limits
