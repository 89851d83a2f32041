#pragma once

#include "claims/recorded_answer.h"
#include "snipespar/time.h"

#include <variant>

namespace snipespar::claims {

/// The call may run once; the claim is durable.
struct claim_granted {
    friend bool operator==(const claim_granted&, const claim_granted&) = default;
};

/// The call ran before; this is its answer.
struct claim_replayed {
    recorded_answer answer;
    friend bool operator==(const claim_replayed&, const claim_replayed&) = default;
};

/// Another request with the key is running.
struct claim_in_progress {
    duration retry_after{};
    friend bool operator==(const claim_in_progress&, const claim_in_progress&) = default;
};

/// An earlier request with the key may have run, and its answer is lost. It is never run again.
struct claim_outcome_unknown {
    friend bool operator==(const claim_outcome_unknown&, const claim_outcome_unknown&) = default;
};

/// The key belongs to a different request.
struct claim_mismatched {
    friend bool operator==(const claim_mismatched&, const claim_mismatched&) = default;
};

/// The claim could not be made by the process that sends this decision.
struct claim_refused {
    duration retry_after{};
    /// Whether the journal may contain the claim nevertheless, so that it has to be released.
    bool may_be_written = false;
    friend bool operator==(const claim_refused&, const claim_refused&) = default;
};

/// The answer to a claim.
using claim_decision = std::variant<claim_granted, claim_replayed, claim_in_progress,
                                    claim_outcome_unknown, claim_mismatched, claim_refused>;

} // namespace snipespar::claims
