#pragma once

#include "agent/upstream_call.h"
#include "net/http_client.h"
#include "snipespar/ids.h"

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>

namespace snipespar::agent {

/// Result of reading an engine's state.
struct probe_result {
    enum class state {
        /// The engine responded.
        alive,
        /// The engine does not accept connections.
        down,
        /// The engine accepted the connection, but gave no valid response in time.
        unknown,
    };
    state engine_state = state::unknown;
    std::uint64_t incarnation = 0;
    std::set<adapter_ref> resident_adapters;
    /// Version of its software; empty if it states none.
    std::string software = {};
};

/// Reads the incarnation and the resident adapters of an engine.
class upstream_probe {
public:
    using done_function = std::function<void(const probe_result&)>;

    upstream_probe(boost::asio::any_io_executor executor, const upstream_address& engine);

    /// Reads once; `done` is called on the executor.
    void read(done_function done) const;

private:
    boost::asio::any_io_executor executor_;
    std::shared_ptr<net::http_client> client_;
};

} // namespace snipespar::agent
