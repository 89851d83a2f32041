#pragma once

#include "snipespar/strong_string.h"

#include <compare>
#include <cstdint>
#include <string>

namespace snipespar {

/// A group of callers that pays for a priority level and a rate.
using team_id = strong_string<struct team_tag>;

/// The public id of a caller's key; never the key itself.
using key_id = strong_string<struct key_tag>;

/// A LoRA adapter, without its version.
using adapter_id = strong_string<struct adapter_tag>;

/// One model engine or one instance of a plain service.
using upstream_id = strong_string<struct upstream_tag>;

/// A host on which processes of the system run.
using host_id = strong_string<struct host_tag>;

/// A set of hosts that may fail together.
using failure_domain_id = strong_string<struct failure_domain_tag>;

/// A path prefix with its rules, as declared in the configuration document.
using route_id = strong_string<struct route_tag>;

/// One run of a process from start to exit: the host's name and a number that is new at each start,
/// so that a restarted process is never taken for its predecessor.
struct incarnation {
    host_id host;
    std::uint64_t start = 0;

    friend auto operator<=>(const incarnation&, const incarnation&) = default;
    friend bool operator==(const incarnation&, const incarnation&) = default;
};

/// An adapter at one version, written `adapter@version`.
struct adapter_ref {
    adapter_id adapter;
    std::string version;

    std::string str() const { return adapter.str() + "@" + version; }

    friend auto operator<=>(const adapter_ref&, const adapter_ref&) = default;
    friend bool operator==(const adapter_ref&, const adapter_ref&) = default;
};

} // namespace snipespar
