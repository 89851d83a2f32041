#pragma once

#include "completion_call.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace engine_stand_in {

class engine;
struct fault_switches;

/// Connection of one caller. Owned by the coroutine that runs serve().
class session {
public:
    session(boost::asio::ip::tcp::socket socket, engine& state);

    /// Serves requests until either side closes the connection.
    boost::asio::awaitable<void> serve();

private:
    using request = boost::beast::http::request<boost::beast::http::string_body>;
    using status = boost::beast::http::status;

    boost::asio::awaitable<bool> answer(const request& message);
    boost::asio::awaitable<bool> answer_load(const request& message);
    boost::asio::awaitable<bool> answer_unload(const request& message);
    boost::asio::awaitable<bool> answer_faults(const request& message);
    boost::asio::awaitable<bool> answer_record(const request& message);
    boost::asio::awaitable<bool> answer_completion(const request& message, bool chat);

    boost::asio::awaitable<bool> generate(completion_call call);
    boost::asio::awaitable<bool> generate_tokens(const completion_call& call,
                                                 fault_switches& faults);
    boost::asio::awaitable<bool> send_token(const completion_call& call, const std::string& echo,
                                            std::uint32_t index);
    boost::asio::awaitable<bool> finish(const completion_call& call, const std::string& echo);
    boost::asio::awaitable<void> peer_closed();

    boost::asio::awaitable<bool> send_json(status code, const nlohmann::json& body);
    boost::asio::awaitable<bool> send_body(status code, std::string type, std::string body);
    boost::asio::awaitable<bool> send_raw(const std::string& bytes);
    boost::asio::awaitable<bool> send_event(const std::string& data);
    boost::asio::awaitable<void> pause(std::chrono::microseconds time);

    boost::asio::ip::tcp::socket socket_;
    engine& engine_;
    boost::beast::flat_buffer buffer_;
    bool keep_alive_ = true;
    std::string text_;
};

} // namespace engine_stand_in
