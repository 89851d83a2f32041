#pragma once

#include <cstdint>
#include <string>

namespace snipespar::link {

/// The whole response has been sent.
struct done {
    std::uint64_t stream = 0;
    /// Tokens (engine) or bytes (plain service) of the whole response.
    std::uint64_t total = 0;
    std::uint64_t prompt_tokens = 0;
    /// `stop`, `length`, ...; empty for plain services.
    std::string finish_reason;
    /// The adapter and version that ran, as the engine reported it.
    std::string served_model;

    friend bool operator==(const done&, const done&) = default;
};

} // namespace snipespar::link
