#pragma once

#include "claims/claim_nonce.h"
#include "claims/digest.h"
#include "claims/instant.h"
#include "claims/recorded_answer.h"

#include <optional>

namespace snipespar::claims {

/// The state of a key that a record establishes.
enum class record_kind {
    /// The claimer may run the call, once.
    claimed,
    /// The claimer did not run the call and never will.
    released,
    /// The call ran, with this answer.
    finished,
    /// The call may have run; its answer is lost.
    unknown,
};

/// One entry of a claim journal. Records of a key apply in journal order.
struct journal_record {
    digest key;
    claim_nonce nonce;
    record_kind kind = record_kind::claimed;
    /// Digest of the request; a repeated request must carry the same one.
    digest fingerprint;
    wall_time at;
    /// Set only on finished records.
    std::optional<recorded_answer> answer;

    friend bool operator==(const journal_record&, const journal_record&) = default;
};

} // namespace snipespar::claims
