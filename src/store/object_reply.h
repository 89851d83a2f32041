#pragma once

#include "store/object.h"

#include <absl/status/status.h>
#include <vector>

namespace snipespar::store {

/// The platform's response to one call. The status says what is known about the call's effect:
/// OK, NotFound (no such object), Aborted (a condition did not hold; no effect), Unavailable and
/// ResourceExhausted (no effect; may be retried), Unknown (a change may or may not have taken
/// effect), anything else (rejected; no effect).
struct object_reply {
    absl::Status status;
    /// The object read or written (written ones without their value), the list, or nothing after a
    /// watch that timed out.
    std::vector<object> objects;
    std::vector<host_record> hosts;
};

} // namespace snipespar::store
