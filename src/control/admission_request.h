#pragma once

#include "snipespar/time.h"

#include <cstdint>
#include <string>

namespace snipespar::control {

/// Message from a gateway to a sidecar about one call with a prompt.
struct admission_request {
    enum class purpose : std::uint8_t {
        /// The call waits for an answer.
        ask,
        /// The call was sent to the engine without asking.
        sent,
        /// The call that asked is no longer sent.
        cancel,
    };

    std::string gateway;
    /// Chosen by the gateway; repeated when it asks again for the same call.
    std::uint64_t call = 0;
    purpose intent = purpose::ask;
    std::uint64_t prompt_tokens = 0;
    /// 0 is the most urgent.
    int urgency = 0;
    /// How long the call can wait and still begin in time, and how long it can wait at all.
    duration aim_wait{};
    duration max_wait{};

    friend bool operator==(const admission_request&, const admission_request&) = default;
};

} // namespace snipespar::control
