#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipespar::sidecar {

/// State of an engine as reported by itself.
struct engine_report {
    /// Process start, which identifies the incarnation. 0 if not stated.
    std::uint64_t process_start_ms = 0;
    /// Orders accepted since then.
    std::uint64_t orders_accepted = 0;
    /// It is carrying out an order and cannot accept another.
    bool is_busy = false;
    std::vector<std::string> models;
    /// Version of each resident adapter, by `model/adapter`.
    std::map<std::string, std::uint64_t> adapters;
    /// Adapters being loaded, as `model/adapter`.
    std::vector<std::string> loading;
    int running = 0;
    int waiting = 0;
    /// Tokens of its cache that cannot be evicted.
    std::uint64_t memory_used = 0;

    friend bool operator==(const engine_report&, const engine_report&) = default;
};

} // namespace snipespar::sidecar
