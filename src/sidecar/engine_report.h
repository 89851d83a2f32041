#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipespar::sidecar {

/// What an engine says of itself.
struct engine_report {
    /// Moment of its start; changes when it starts anew. 0 when it does not say.
    std::uint64_t process_start_ms = 0;
    /// Orders that it has accepted since then.
    std::uint64_t orders_accepted = 0;
    /// It carries out an order that keeps it from taking another.
    bool is_busy = false;
    std::vector<std::string> models;
    /// Version of each adapter that it holds, by `model/adapter`.
    std::map<std::string, std::uint64_t> adapters;
    /// Adapters on their way to it, as `model/adapter`.
    std::vector<std::string> loading;
    int running = 0;
    int waiting = 0;
    /// Tokens of its cache that cannot be given up.
    std::uint64_t memory_used = 0;

    friend bool operator==(const engine_report&, const engine_report&) = default;
};

} // namespace snipespar::sidecar
