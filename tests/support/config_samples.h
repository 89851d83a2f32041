#pragma once

#include "config/document_change.h"
#include "config/key_change.h"
#include "config/publisher.h"
#include "config/snapshot.h"

#include <string>

namespace snipespar::config {

/// A valid snapshot with one team, one engine and `adapters` adapters.
inline snapshot sample_snapshot(std::size_t adapters, std::uint64_t rate = 100)
{
    snapshot config;
    config.environment = "trial";
    const team_id north("north");
    config.teams.emplace(north, team{north, "gold", 4.0, rate, 1000});
    upstream engine;
    engine.id = upstream_id("engine");
    engine.serves = "base";
    engine.agent_address = "127.0.0.1";
    engine.agent_port = 7201;
    config.upstreams.emplace(engine.id, engine);
    for (std::size_t i = 0; i < adapters; ++i) {
        const adapter_id id("adapter" + std::to_string(i));
        config.adapters.emplace(id,
                                adapter{id, "base", {{"v1", "store://x"}}, {{north, {}, "v1"}}});
    }
    return config;
}

/// A change that replaces the document.
inline publisher::change_function replace_document(snapshot content)
{
    return [change = document_change(std::move(content))](const snapshot& base) mutable {
        return change.apply_to(base);
    };
}

/// A change that issues a key to the sample's team.
inline publisher::change_function issue_key(const std::string& name)
{
    const api_key key{key_id(name), team_id("north"), "hash-" + name, false};
    return [change = key_issue(key)](const snapshot& base) { return change.apply_to(base); };
}

/// A change that withdraws a key.
inline publisher::change_function withdraw_key(const std::string& name)
{
    return [change = key_withdrawal(key_id(name))](const snapshot& base) {
        return change.apply_to(base);
    };
}

} // namespace snipespar::config
