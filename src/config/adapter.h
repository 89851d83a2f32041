#pragma once

#include "snipespar/ids.h"

#include <string>
#include <vector>

namespace snipespar::config {

/// One loadable version of an adapter.
struct adapter_version {
    std::string version;
    /// Location that the engine loads the weights from, in the engine's own format.
    std::string source;

    friend bool operator==(const adapter_version&, const adapter_version&) = default;
};

/// One team's permission to run an adapter.
struct adapter_grant {
    team_id team;
    /// Versions that the team may request; empty means all.
    std::vector<std::string> versions;
    /// Version that the adapter's bare name resolves to.
    std::string default_version;

    friend bool operator==(const adapter_grant&, const adapter_grant&) = default;
};

/// A LoRA adapter of one base model.
struct adapter {
    adapter_id id;
    std::string base_model;
    std::vector<adapter_version> versions;
    std::vector<adapter_grant> grants;

    friend bool operator==(const adapter&, const adapter&) = default;
};

} // namespace snipespar::config
