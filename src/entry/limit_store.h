#pragma once

#include "limits/limit_actions.h"
#include "limits/slot_allocator.h"

#include <functional>
#include <optional>
#include <vector>

namespace snipespar::entry {

/// Access of the shared limits to the platform. Every call completes on the control thread, even if
/// the platform does not respond.
struct limit_store {
    std::function<void(const limits::read_table&,
                       std::function<void(std::optional<limits::versioned_table>)>)>
        read;
    std::function<void(const limits::write_table&, std::function<void(limits::write_outcome)>)>
        write;
    /// The live entries as last listed; none if they could not be listed since the last call.
    std::function<std::optional<std::vector<limits::member>>()> members;
};

} // namespace snipespar::entry
