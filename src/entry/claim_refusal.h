#pragma once

#include "claims/claim_decision.h"
#include "entry/refusal.h"

namespace snipespar::entry {

/// The response to a caller whose claim was neither granted nor answered from a stored body.
refusal claim_refusal(const claims::claim_decision& decision);

} // namespace snipespar::entry
