#include "process/support/free_port.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <fmt/format.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

namespace snipespar::testing {

namespace {

constexpr std::uint32_t first_port = 10000;
constexpr std::uint32_t port_count = 20000;
// Ports that a test process takes at once; more than most tests need.
constexpr std::uint32_t ports_per_block = 50;
constexpr std::uint32_t block_count = port_count / ports_per_block;

// Takes the block for as long as this process lives, unless another holds it: a Unix socket with an
// abstract name is visible exactly to those who share the loopback interface, and goes with its
// process. Programs bind a port on other loopback addresses than the one that is tried below, so
// that trying it alone does not keep two test processes apart.
bool take_block(std::uint32_t block)
{
    const auto name = fmt::format("snipespar-test-ports-{}", block);
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    std::memcpy(&address.sun_path[1], name.data(), name.size());
    const auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size());
    const int guard = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (guard < 0) {
        return false;
    }
    if (bind(guard, reinterpret_cast<const sockaddr*>(&address), size) != 0) {
        close(guard);
        return false;
    }
    return true;
}

// First port of a block that no other test process holds. Starts to look at a block that depends on
// the process id, so that a port is not used again soon after its last user.
std::uint32_t take_ports()
{
    static std::uint32_t next = static_cast<std::uint32_t>(getpid());
    for (std::uint32_t tried = 0; tried < block_count; ++tried) {
        const auto block = next++ % block_count;
        if (take_block(block)) {
            return first_port + block * ports_per_block;
        }
    }
    throw std::runtime_error("no free block of ports");
}

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
    static std::uint32_t next = 0;
    static std::uint32_t end = 0;
    while (true) {
        if (next == end) {
            next = take_ports();
            end = next + ports_per_block;
        }
        const auto port = static_cast<std::uint16_t>(next++);
        if (is_free(port)) {
            return {"127.0.0.1", port};
        }
    }
}

} // namespace snipespar::testing
