#pragma once

#include "snipespar/strong_string.h"

#include <cstddef>
#include <cstdint>

namespace snipespar::limits {

/// An amount of a limit in millionths of a token. An integer, so that rounding creates no tokens.
using micro_tokens = std::int64_t;

/// Micro-tokens in one token.
constexpr micro_tokens micro_per_token = 1'000'000;

/// Maximum rate per second and maximum burst of a limit. Keeps products with microseconds within 64
/// bits.
constexpr micro_tokens max_amount = 9'000'000 * micro_per_token;

/// Slots into which each limit is divided. Each slot has at most one owner at a time.
constexpr std::size_t slot_count = 3;

/// A fleet-wide limit, such as a team's tokens or the weight store's loads.
using limit_id = strong_string<struct limit_tag>;

/// The part of `total` that belongs to one slot. The parts of all slots add up to `total` exactly.
constexpr micro_tokens slice(micro_tokens total, std::size_t slot)
{
    const auto count = static_cast<micro_tokens>(slot_count);
    const auto index = static_cast<micro_tokens>(slot);
    return (total * (index + 1) / count) - (total * index / count);
}

} // namespace snipespar::limits
