#include "entry/claim_refusal.h"

#include <cassert>

namespace snipespar::entry {

namespace {

constexpr int http_conflict = 409;
constexpr int http_unprocessable = 422;
constexpr int http_unavailable = 503;

refusal refusal_of(const claims::claim_replayed& /*decision*/)
{
    return {http_conflict,
            "answer_not_kept",
            "The call ran before; its response was too large to store.",
            run_state::ran,
            {}};
}

refusal refusal_of(const claims::claim_in_progress& decision)
{
    return {http_conflict, "in_progress", "A call with this key is in progress.",
            run_state::unknown, decision.retry_after};
}

refusal refusal_of(const claims::claim_outcome_unknown& /*decision*/)
{
    return {http_conflict,
            "outcome_unknown",
            "An earlier call with this key may have run; it is not run again.",
            run_state::unknown,
            {}};
}

refusal refusal_of(const claims::claim_mismatched& /*decision*/)
{
    return {http_unprocessable,
            "idempotency_key_reused",
            "This key was used for a different request.",
            run_state::not_run,
            {}};
}

refusal refusal_of(const claims::claim_refused& decision)
{
    return {http_unavailable, "claim_unavailable", "The key cannot be claimed now.",
            run_state::not_run, decision.retry_after};
}

refusal refusal_of(const claims::claim_granted& /*decision*/)
{
    assert(false);
    return {};
}

} // namespace

refusal claim_refusal(const claims::claim_decision& decision)
{
    return std::visit([](const auto& value) { return refusal_of(value); }, decision);
}

} // namespace snipespar::entry
