#pragma once

#include "claims/claim_decision.h"
#include "claims/claim_nonce.h"
#include "claims/claim_request.h"
#include "claims/digest.h"
#include "snipespar/time.h"

#include <variant>

namespace snipespar::claims {

/// Asks a partition's owner to make a claim.
struct forwarded_claim {
    digest key;
    claim_nonce nonce;
    digest fingerprint;
    /// How long the sender waits for the answer.
    duration remaining{};

    friend bool operator==(const forwarded_claim&, const forwarded_claim&) = default;
};

/// The owner's answer to a forwarded claim.
struct claim_reply {
    claim_nonce nonce;
    claim_decision decision;

    friend bool operator==(const claim_reply&, const claim_reply&) = default;
};

/// The claimer received a reply after which the journal may contain its claim. The owner resends
/// such a reply until then, as a claim unknown to its claimer would block its key.
struct reply_receipt {
    claim_nonce nonce;

    friend bool operator==(const reply_receipt&, const reply_receipt&) = default;
};

/// Asks a partition's owner to record an outcome.
struct forwarded_outcome {
    claim_outcome outcome;

    friend bool operator==(const forwarded_outcome&, const forwarded_outcome&) = default;
};

/// The owner recorded the outcome of this claim.
struct outcome_reply {
    claim_nonce nonce;

    friend bool operator==(const outcome_reply&, const outcome_reply&) = default;
};

/// A message between entries about claims.
using claim_message =
    std::variant<forwarded_claim, claim_reply, reply_receipt, forwarded_outcome, outcome_reply>;

} // namespace snipespar::claims
