#pragma once

#include <cstdint>
#include <string_view>

namespace snipespar {

/// A 64-bit hash with the same value in every process and build. Not cryptographic.
std::uint64_t stable_hash(std::string_view bytes);

/// Mixes two hashes into one; the order of the arguments matters.
std::uint64_t combine_hash(std::uint64_t left, std::uint64_t right);

/// Score of a candidate for a key in weighted rendezvous hashing. The candidate with the highest
/// score ranks first; `weight` must be positive. Every process computes the same ranking.
double rendezvous_score(std::uint64_t key, std::uint64_t candidate, double weight);

} // namespace snipespar
