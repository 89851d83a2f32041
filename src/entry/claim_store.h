#pragma once

#include "claims/journal_action.h"

#include <cstdint>
#include <functional>
#include <string>

namespace snipespar::entry {

/// The platform's objects as claims use them. Each call is answered once, on the control thread,
/// also when the platform never answers: a read is then unavailable and a write unknown.
struct claim_store {
    /// Reports status, version and value of an object.
    using read_done =
        std::function<void(claims::read_status, std::uint64_t version, const std::string& value)>;
    using write_done = std::function<void(const claims::write_result&)>;

    std::function<void(const std::string& key, read_done)> read;
    /// Writes an object that has the expected version, 0 meaning that it must not exist.
    std::function<void(const std::string& key, std::string value, std::uint64_t expected,
                       write_done)>
        write;
};

} // namespace snipespar::entry
