#pragma once

#include "gateway/memory_share.h"
#include "net/growing_body.h"
#include "snipespar/time.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace snipespar::gateway {

class call_exchange;
struct gateway_context;
struct refusal;

/// One caller's connection: reads requests sequentially and writes their responses.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(boost::asio::ip::tcp::socket socket, gateway_context& context);

    void start();

    /// Queues bytes of the current response.
    void send(std::string bytes);

    /// Bytes queued and not yet written to the socket.
    std::size_t unsent_bytes() const { return output_.size() + writing_.size() - written_bytes_; }

    /// The end of the current response is that of the connection: until `end_response` has passed
    /// all of it to the system, any other end is a reset, also that of a process that is killed.
    void expect_end_with_connection();

    /// Completes the current response; the next request follows unless the connection closes.
    void end_response(bool closes);

    /// Closes without completing the current response.
    void abort();

    /// Closes the connection if it exceeds the idle or receive timeouts.
    void on_tick(time_point now);

    /// Closes the connection if no request is in progress or on its way.
    void close_if_idle(time_point now);

    /// Since when the connection has carried no request; nothing while it does.
    std::optional<time_point> idle_since() const;

    /// Closes the idle connection, whose descriptor is needed.
    void close_for_descriptor();

    /// Closes the connection if its caller has stopped reading its answers.
    void close_if_not_reading(time_point now);

    /// Refuses a request that has not arrived completely, since the process is about to exit.
    void end_for_stop();

    bool is_closed() const { return is_closed_; }

    /// Ends the connection and its request if the caller has closed it; returns whether it did. A
    /// process that was held up may have the close before it unread.
    bool end_if_left();

private:
    using parser = boost::beast::http::request_parser<net::growing_body>;

    void reset_parser();
    void read();
    void contain(const std::function<void()>& action);
    void on_fault();
    void on_read(const boost::system::error_code& error, std::size_t count);
    void parse();
    void start_request();
    void refuse_bad_request(const boost::system::error_code& error);
    /// Refuses a request of which nothing can be taken for sure, not even its end or its id.
    void refuse_and_close(const refusal& refused);
    void send_refusal(const refusal& refused, const std::string& request_id);
    void write();
    void write_some();
    void on_written(const boost::system::error_code& error, std::size_t count);
    bool takes_memory_of_request();
    void shut_down();
    void discard(std::size_t count);
    void close();
    void on_disconnected();

    boost::asio::ip::tcp::socket socket_;
    gateway_context& context_;
    /// Called by the parser for each chunk, with its size and extensions.
    std::function<void(std::uint64_t, boost::beast::string_view, boost::system::error_code&)>
        check_chunk_line_;
    /// Size of the chunk extensions of the request so far.
    std::size_t extension_bytes_ = 0;
    std::optional<parser> parser_;
    /// The header of a chunked request, to which the parser adds the trailers.
    std::optional<boost::beast::http::request_header<>> head_;
    std::array<char, 8192> read_buffer_{};
    std::string input_;
    /// Memory of the request being received.
    memory_share input_share_;
    std::string output_;
    /// Being written, and how much of it has been.
    std::string writing_;
    std::size_t written_bytes_ = 0;
    /// When the caller last took bytes of an answer.
    time_point write_progress_at_;
    memory_share output_share_;
    std::shared_ptr<call_exchange> exchange_;
    /// When the first byte of the request being read was read; unset between requests.
    std::optional<time_point> request_started_at_;
    /// When that byte arrived, as far as is known.
    time_point request_arrived_at_{};
    time_point idle_since_;
    bool is_reading_ = false;
    bool is_writing_ = false;
    bool is_closing_ = false;
    /// The connection must not end in order now.
    bool is_reset_by_close_ = false;
    /// Set once the last answer is written: what still arrives is dropped until the caller closes,
    /// or until then at the latest.
    std::optional<time_point> closes_at_;
    std::size_t discarded_bytes_ = 0;
    bool is_closed_ = false;
    bool is_continue_sent_ = false;
    bool is_header_checked_ = false;
};

} // namespace snipespar::gateway
