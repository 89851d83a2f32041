#include "control/datagram_socket.h"

#include "net/bind_status.h"

#include <absl/cleanup/cleanup.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <string_view>
#include <tuple>
#include <utility>

namespace snipespar::control {

namespace asio = boost::asio;
using asio::ip::udp;

absl::Status datagram_socket::open(const cli::endpoint& listen, receiver received)
{
    received_ = std::move(received);
    boost::system::error_code error;
    const auto address = asio::ip::make_address(listen.ip, error);
    const udp::endpoint local(address, listen.port);
    if (!error) {
        std::ignore = socket_.open(local.protocol(), error);
    }
    if (!error) {
        std::ignore = socket_.bind(local, error);
    }
    if (!error) {
        std::ignore = socket_.non_blocking(true, error);
    }
    if (error) {
        boost::system::error_code ignored;
        std::ignore = socket_.close(ignored);
        return net::bind_status(listen.str(), error);
    }
    receive();
    return absl::OkStatus();
}

void datagram_socket::send(const cli::endpoint& to, const std::string& bytes)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(to.ip, error);
    if (!error) {
        // Errors are ignored: the next datagram makes up for a lost one.
        socket_.send_to(asio::buffer(bytes), udp::endpoint(address, to.port), 0, error);
    }
}

void datagram_socket::receive()
{
    socket_.async_receive_from(
        asio::buffer(receive_buffer_), from_, [this](const auto& error, std::size_t count) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            const absl::Cleanup receive_next = [this] { receive(); };
            if (error) {
                return;
            }
            const auto content = decode(std::string_view(receive_buffer_.data(), count));
            if (content.ok()) {
                received_(*content, {from_.address().to_string(), from_.port()});
            }
            else {
                ++rejected_;
            }
        });
}

} // namespace snipespar::control
