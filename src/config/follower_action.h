#pragma once

#include "snipespar/ids.h"
#include "snipespar/time.h"
#include "store/object.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace snipespar::config {

struct snapshot;

/// Watch the root at the platform and pass on the result.
struct watch_root {
    store::revision after = 0;
    duration wait{};

    friend bool operator==(const watch_root&, const watch_root&) = default;
};

/// Request a peer's report, and pass on the response with the time of this query.
struct query_peer {
    host_id peer;

    friend bool operator==(const query_peer&, const query_peer&) = default;
};

/// Request the root of a peer's active version.
struct fetch_root {
    host_id peer;

    friend bool operator==(const fetch_root&, const fetch_root&) = default;
};

/// Fetch one part from a peer, or from the platform when the peer's name is empty.
struct fetch_part {
    host_id peer;
    std::string sha256;

    friend bool operator==(const fetch_part&, const fetch_part&) = default;
};

/// Activate a version.
struct adopt {
    std::shared_ptr<const snapshot> config;

    friend bool operator==(const adopt&, const adopt&) = default;
};

using follower_action = std::variant<watch_root, query_peer, fetch_root, fetch_part, adopt>;
using follower_actions = std::vector<follower_action>;

} // namespace snipespar::config
