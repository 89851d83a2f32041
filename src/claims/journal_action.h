#pragma once

#include "claims/claim_decision.h"
#include "claims/claim_nonce.h"
#include "claims/journal_page.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace snipespar::claims {

/// Names one platform operation of one journal object, so that a late answer is recognised.
using operation_id = std::uint64_t;

/// Where a journal object lives: the page of a partition, or one of its segment slots.
struct object_location {
    std::uint32_t partition = 0;
    std::optional<std::uint32_t> slot;

    friend auto operator<=>(const object_location&, const object_location&) = default;
    friend bool operator==(const object_location&, const object_location&) = default;
};

/// A journal object with its contents.
using object_value = std::variant<journal_page, journal_segment>;

/// Read an object and report it by on_read().
struct read_object {
    operation_id operation = 0;
    object_location location;

    friend bool operator==(const read_object&, const read_object&) = default;
};

/// Write an object if it still has the expected version, 0 meaning that it must not exist, and
/// report the end by on_write().
struct write_object {
    operation_id operation = 0;
    object_location location;
    std::uint64_t expected_version = 0;
    object_value value;

    friend bool operator==(const write_object&, const write_object&) = default;
};

/// Answer the claim with this nonce.
struct answer_claim {
    claim_nonce nonce;
    claim_decision decision;

    friend bool operator==(const answer_claim&, const answer_claim&) = default;
};

/// The outcome of the claim with this nonce is durable, or no longer matters.
struct confirm_outcome {
    claim_nonce nonce;

    friend bool operator==(const confirm_outcome&, const confirm_outcome&) = default;
};

using journal_action = std::variant<read_object, write_object, answer_claim, confirm_outcome>;
using journal_actions = std::vector<journal_action>;

/// How a read ended.
enum class read_status {
    found,
    absent,
    unavailable,
};

/// The end of a read; `value` is set only if the object was found.
struct read_result {
    read_status status = read_status::unavailable;
    std::uint64_t version = 0;
    std::optional<object_value> value;

    friend bool operator==(const read_result&, const read_result&) = default;
};

/// How a conditional write ended.
enum class write_status {
    written,
    /// The object has another version; nothing was changed.
    conflict,
    /// The platform did not take the write; nothing was changed.
    unavailable,
    /// The answer was lost; the write took effect, or did not, or still will.
    unknown,
};

/// The end of a write; `version` is set only if it was written.
struct write_result {
    write_status status = write_status::unknown;
    std::uint64_t version = 0;

    friend bool operator==(const write_result&, const write_result&) = default;
};

} // namespace snipespar::claims
