#pragma once

#include "limits/amount.h"

namespace snipespar::limits {

/// How a limit's tokens become available again after use.
enum class limit_form {
    /// Delivered tokens are consumed; new ones accrue at the rate.
    rate,
    /// Tokens are held by running work and released immediately when it ends.
    concurrency,
};

/// A fleet-wide limit as configured.
struct limit_spec {
    limit_id id;
    limit_form form = limit_form::rate;
    /// Micro-tokens per second; unused by the concurrency form.
    micro_tokens rate_per_s = 0;
    /// Burst of the rate form; concurrent total of the concurrency form.
    micro_tokens capacity = 0;

    friend bool operator==(const limit_spec&, const limit_spec&) = default;
};

} // namespace snipespar::limits
