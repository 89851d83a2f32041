#pragma once

#include "limits/amount.h"
#include "snipespar/ids.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace snipespar::limits {

/// Owner of one slot of a group of limits.
struct slot_owner {
    /// Incremented with each change of owner; 0 means that the slot never had one.
    std::uint64_t generation = 0;
    incarnation owner;

    friend bool operator==(const slot_owner&, const slot_owner&) = default;
};

/// The owners of all slots of one group, as stored in the platform.
struct allocation_table {
    std::array<slot_owner, slot_count> slots;

    friend bool operator==(const allocation_table&, const allocation_table&) = default;
};

/// A live process in the platform's list.
struct member {
    incarnation id;
    failure_domain_id failure_domain;
    /// Set when the process is about to stop: it gets no new slots and hands over its own.
    bool leaving = false;

    friend bool operator==(const member&, const member&) = default;
};

/// The member that should own a free slot: the one with the highest rank for the group among those
/// that own the fewest other slots of it, with preference for failure domains without an owner.
/// Every process with the same list and table selects the same member. Empty if every member is
/// leaving.
std::optional<incarnation> candidate(std::uint32_t group, std::size_t slot,
                                     const allocation_table& table,
                                     const std::vector<member>& members);

} // namespace snipespar::limits
