#pragma once

#include "agent/upstream_call.h"

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <string>

namespace snipespar::agent {

/// Sends load and evict orders to an engine, each on its own connection and with a fencing number.
class adapter_orders {
public:
    /// Called with whether the engine carried out the order; false also if the response was lost.
    using order_done = std::function<void(bool ok)>;

    adapter_orders(boost::asio::any_io_executor executor, upstream_address engine);

    void load(const std::string& name, const std::string& source, std::uint64_t fencing_number,
              order_done done) const;
    void evict(const std::string& name, std::uint64_t fencing_number, order_done done) const;

private:
    void order(const char* path, std::string body, std::uint64_t fencing_number,
               order_done done) const;

    boost::asio::any_io_executor executor_;
    upstream_address engine_;
};

} // namespace snipespar::agent
