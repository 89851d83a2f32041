#pragma once

#include "claims/journal_action.h"

#include <cstdint>
#include <functional>
#include <string>

namespace snipespar::entry {

/// Access of claims to the platform's objects. Each call completes exactly once, on the control
/// thread. If the platform never responds, a read is unavailable and a write unknown.
struct claim_store {
    /// Receives status, version and value of an object.
    using read_done =
        std::function<void(claims::read_status, std::uint64_t version, const std::string& value)>;
    using write_done = std::function<void(const claims::write_result&)>;

    std::function<void(const std::string& key, read_done)> read;
    /// Writes an object if it has the expected version; 0 means that it must not exist.
    std::function<void(const std::string& key, std::string value, std::uint64_t expected,
                       write_done)>
        write;
};

} // namespace snipespar::entry
