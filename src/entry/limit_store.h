#pragma once

#include "limits/limit_actions.h"
#include "limits/slot_allocator.h"

#include <functional>
#include <optional>
#include <vector>

namespace snipespar::entry {

/// What the shared limits use of the platform. Every call is answered on the control thread, also
/// when the platform does not answer.
struct limit_store {
    std::function<void(const limits::read_table&,
                       std::function<void(std::optional<limits::versioned_table>)>)>
        read;
    std::function<void(const limits::write_table&, std::function<void(limits::write_outcome)>)>
        write;
    /// The live entries as last listed, or none if they could not be listed since the last call.
    std::function<std::optional<std::vector<limits::member>>()> members;
};

} // namespace snipespar::entry
