#include "process/support/raw_caller.h"

#include "support/http_probe.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <ctime>
#include <sys/socket.h>
#include <sys/time.h>

namespace snipespar::testing {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr int receive_buffer_bytes = 64 * 1024;

} // namespace

raw_caller::raw_caller(const cli::endpoint& peer) : socket_(context_)
{
    boost::system::error_code error;
    const tcp::endpoint target(asio::ip::make_address(peer.ip), peer.port);
    socket_.open(target.protocol(), error);
    socket_.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes), error);
    const timeval limit{static_cast<time_t>(wait_limit.count()), 0};
    setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(socket_.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    socket_.connect(target, error);
    is_connected_ = !error;
}

bool raw_caller::send(std::string_view bytes)
{
    boost::system::error_code error;
    asio::write(socket_, asio::buffer(bytes.data(), bytes.size()), error);
    return !error;
}

std::string raw_caller::read_some(std::size_t bytes)
{
    std::string received(bytes, '\0');
    boost::system::error_code error;
    received.resize(socket_.read_some(asio::buffer(received), error));
    return received;
}

std::string raw_caller::read_to_end()
{
    std::string received;
    std::array<char, 64UL * 1024> chunk{};
    boost::system::error_code error;
    while (!error) {
        const auto count = socket_.read_some(asio::buffer(chunk), error);
        received.append(chunk.data(), count);
    }
    was_reset_ = error != asio::error::eof;
    return received;
}

} // namespace snipespar::testing
