#include "process/support/port_source.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
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
// More ports than most tests need.
constexpr std::uint32_t ports_per_block = 50;
constexpr std::uint32_t block_count = port_count / ports_per_block;

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

port_source::~port_source()
{
    for (const int guard : guards_) {
        close(guard);
    }
}

std::uint16_t port_source::next()
{
    while (true) {
        if (next_ == end_) {
            take_block();
        }
        const auto port = static_cast<std::uint16_t>(next_++);
        if (is_free(port)) {
            return port;
        }
    }
}

// A Unix socket with an abstract name is visible exactly to those who share the loopback interface,
// and goes with its process. That a port is free on 127.0.0.1 does not keep two test processes
// apart, as their programs bind it on other loopback addresses.
bool port_source::take(std::uint32_t block)
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
    guards_.push_back(guard);
    return true;
}

// Begins to look at a block that depends on the process id, so that a port is not used again soon
// after its last user.
void port_source::take_block()
{
    const auto begin = static_cast<std::uint32_t>(getpid());
    for (std::uint32_t tried = 0; tried < block_count; ++tried) {
        const auto block = (begin + tried) % block_count;
        if (take(block)) {
            next_ = first_port + block * ports_per_block;
            end_ = next_ + ports_per_block;
            return;
        }
    }
    throw std::runtime_error("no free block of ports");
}

} // namespace snipespar::testing
