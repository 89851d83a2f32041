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

/// What an engine answered when it was asked what it holds.
struct probe_result {
    enum class state {
        /// The engine answered.
        alive,
        /// It does not accept connections.
        down,
        /// It accepted the question, but gave no usable answer in time.
        unclear,
    };
    state is = state::unclear;
    std::uint64_t incarnation = 0;
    std::set<adapter_ref> held;
};

/// Asks an engine for its incarnation and the adapters that it holds.
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
