#include "process/support/free_port.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <stdexcept>
#include <unistd.h>

namespace snipespar::testing {

namespace {

constexpr std::uint32_t first_port = 10000;
constexpr std::uint32_t port_count = 20000;
// Distance between the first ports that two processes with consecutive ids try.
constexpr std::uint32_t ports_per_process = 331;

bool is_free(std::uint16_t port)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    const tcp::endpoint address(boost::asio::ip::address_v4::loopback(), port);
    boost::system::error_code error;
    tcp::acceptor probe(context);
    if (probe.open(address.protocol(), error)) {
        return false;
    }
    return !probe.bind(address, error);
}

} // namespace

cli::endpoint free_address()
{
    static std::uint32_t next = static_cast<std::uint32_t>(getpid()) * ports_per_process;
    for (std::uint32_t tried = 0; tried < port_count; ++tried) {
        const auto port = static_cast<std::uint16_t>(first_port + (next++ % port_count));
        if (is_free(port)) {
            return {"127.0.0.1", port};
        }
    }
    throw std::runtime_error("no free port");
}

} // namespace snipespar::testing
