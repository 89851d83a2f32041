#include "base/stable_hash.h"

#include <cassert>
#include <cmath>

namespace snipespar {

namespace {

constexpr std::uint64_t fnv_offset_basis = 14695981039346656037ULL;
constexpr std::uint64_t fnv_prime = 1099511628211ULL;

// Finalizer of splitmix64, so that similar inputs give unrelated outputs.
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 30U;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27U;
    value *= 0x94d049bb133111ebULL;
    value ^= value >> 31U;
    return value;
}

} // namespace

std::uint64_t stable_hash(std::string_view bytes)
{
    std::uint64_t hash = fnv_offset_basis;
    for (const char byte : bytes) {
        hash ^= static_cast<unsigned char>(byte);
        hash *= fnv_prime;
    }
    return mix(hash);
}

std::uint64_t combine_hash(std::uint64_t left, std::uint64_t right)
{
    constexpr std::uint64_t golden_ratio = 0x9e3779b97f4a7c15ULL;
    return mix(left + golden_ratio + mix(right));
}

double rendezvous_score(std::uint64_t key, std::uint64_t candidate, double weight)
{
    assert(weight > 0);
    constexpr unsigned mantissa_bits = 53;
    const std::uint64_t hash = combine_hash(key, candidate);
    const double scale = std::ldexp(1.0, -static_cast<int>(mantissa_bits));
    const double uniform = (static_cast<double>(hash >> (64U - mantissa_bits)) + 0.5) * scale;
    return -weight / std::log(uniform);
}

} // namespace snipespar
