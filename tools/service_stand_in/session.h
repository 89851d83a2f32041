#pragma once

#include "execution_record.h"
#include "fault_switches.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

namespace service_stand_in {

/// State shared by all connections; the program has one thread.
struct service {
    execution_record record;
    fault_switches faults;
};

/// One connection: reads requests in order and responds to them, with the configured faults.
class session {
public:
    session(boost::asio::ip::tcp::socket socket, service& state);

    /// Serves requests until the connection closes.
    boost::asio::awaitable<void> serve();

private:
    using request = boost::beast::http::request<boost::beast::http::string_body>;

    boost::asio::awaitable<std::optional<request>> read();
    boost::asio::awaitable<bool> answer(const request& message);
    boost::asio::awaitable<bool> execute(const request& message);
    boost::asio::awaitable<void> wait(std::chrono::milliseconds time);
    boost::asio::awaitable<void> wait_until_closed();
    boost::asio::awaitable<bool> send_bytes(const std::string& bytes);
    boost::asio::awaitable<bool> send(unsigned status, const std::string& body);
    boost::asio::awaitable<bool> send_faulty(const fault_switches& faults, const std::string& body);

    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    /// Bytes since the last request; those of control requests are not recorded.
    std::string received_;
    service& service_;
};

} // namespace service_stand_in
