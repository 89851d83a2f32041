#pragma once

#include "cli/endpoint.h"
#include "control/message.h"

#include <absl/status/status.h>
#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>

namespace snipespar::control {

/// Sends and receives messages as datagrams. Sending never blocks: a datagram that does not fit the
/// socket's buffer is dropped, as it could be by the network.
class datagram_socket {
public:
    /// Called with each message and the address `ip:port` of its sender.
    using receiver = std::function<void(const message&, const cli::endpoint& from)>;

    explicit datagram_socket(const boost::asio::any_io_executor& executor) : socket_(executor) {}

    /// Binds the address and starts receiving. Unavailable: another attempt may succeed.
    absl::Status open(const cli::endpoint& listen, receiver received);

    bool is_open() const { return socket_.is_open(); }

    void send(const cli::endpoint& to, const std::string& bytes);

    /// Number of datagrams that could not be decoded.
    std::uint64_t rejected() const { return rejected_; }

private:
    void receive();

    // Size limit of a received datagram.
    static constexpr std::size_t max_datagram_bytes = 65'536;

    boost::asio::ip::udp::socket socket_;
    receiver received_;
    boost::asio::ip::udp::endpoint from_;
    std::array<char, max_datagram_bytes> receive_buffer_{};
    std::uint64_t rejected_ = 0;
};

} // namespace snipespar::control
