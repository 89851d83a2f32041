#pragma once

#include "claims/claim_nonce.h"
#include "claims/digest.h"
#include "claims/journal_record.h"
#include "claims/recorded_answer.h"
#include "snipespar/time.h"

#include <optional>

namespace snipespar::claims {

/// Requests the right to run one call.
struct claim_request {
    /// Digest of team, route and the caller's key.
    digest key;
    claim_nonce nonce;
    /// Digest of method, path and body.
    digest fingerprint;
    /// When to give up, on the clock of the process that holds the request.
    time_point deadline;

    friend bool operator==(const claim_request&, const claim_request&) = default;
};

/// How a granted or abandoned claim ended.
struct claim_outcome {
    digest key;
    claim_nonce nonce;
    digest fingerprint;
    /// Anything but `claimed`.
    record_kind kind = record_kind::unknown;
    /// Set only if finished.
    std::optional<recorded_answer> answer;

    friend bool operator==(const claim_outcome&, const claim_outcome&) = default;
};

} // namespace snipespar::claims
