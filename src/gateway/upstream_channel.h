#pragma once

#include "cli/endpoint.h"
#include "gateway/answer_header.h"
#include "net/growing_body.h"
#include "net/response_feed.h"
#include "snipespar/time.h"

#include <absl/status/status.h>
#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipespar::gateway {

/// Callbacks for one exchange. None is called after `ended` or `failed`.
struct channel_handler {
    /// Whether the request is still to be sent now that its connection stands; abandons the channel
    /// if not. Unset: always.
    std::function<bool()> is_wanted = {};
    std::function<void(const answer_header&)> header;
    std::function<void(std::string_view)> body;
    /// The response is complete.
    std::function<void()> ended;
    /// Unavailable: the upstream has not received the call. Unknown: it may have run it.
    std::function<void(const absl::Status&)> failed;
};

/// One HTTP connection to an upstream, which carries one exchange at a time.
class upstream_channel : public std::enable_shared_from_this<upstream_channel> {
public:
    upstream_channel(const boost::asio::any_io_executor& executor, cli::endpoint upstream);

    /// Connects if needed and sends one request. A response with another request id than
    /// `request_id` belongs to an earlier exchange and is dropped. A final response without an
    /// id may be that of any request and ends the exchange with an unknown outcome.
    void exchange(std::string head, std::shared_ptr<const std::string> body, std::string request_id,
                  bool is_head_request, duration connect_timeout, channel_handler handler);

    /// Cancels the exchange, if any, and closes the connection; the upstream then stops its work.
    /// The connection is reset, so that a request not yet read by the upstream is lost and never
    /// runs.
    void abandon();

    /// Whether another exchange may use the connection.
    bool is_reusable() const;

    /// Whether it may do so now for the request with this id: bytes that have arrived before it
    /// would be taken for its response.
    bool can_take_request(std::string_view request_id);

    /// Watches the idle connection; `closed` is called once if the upstream closes it or sends
    /// unrequested data.
    void watch_idle(std::function<void()> closed);

    /// Whether the response ended with the connection, as one without a length does.
    bool was_closed_by_upstream() const { return was_closed_by_upstream_; }

    /// Seconds for which the upstream keeps an idle connection, 0 if not stated.
    unsigned keep_alive_s() const { return keep_alive_s_; }
    const cli::endpoint& upstream() const { return upstream_; }

private:
    using parser = boost::beast::http::response_parser<net::growing_body>;

    /// What a response belongs to.
    enum class response_owner {
        this_exchange,
        /// An earlier exchange, or it is an interim response.
        none,
        unknown,
    };

    void connect(duration timeout);
    void write();
    void read();
    bool is_whole();
    void on_bytes(std::size_t count);
    bool parse(boost::system::error_code& error);
    bool handle_header();
    response_owner owner_of(const answer_header& response) const;
    void note_refused_request();
    void forward_body();
    void reset_parser();
    void finish();
    void fail(const absl::Status& status);
    void close();

    boost::asio::ip::tcp::socket socket_;
    cli::endpoint upstream_;
    channel_handler handler_;
    std::string head_;
    /// Null while no request is being written.
    std::shared_ptr<const std::string> body_;
    std::string request_id_;
    /// Requests that were refused on this connection.
    std::vector<std::string> refused_requests_;
    std::optional<parser> parser_;
    net::response_feed feed_;
    std::array<char, 8192> read_buffer_{};
    /// Bytes received and not parsed yet.
    std::string input_;
    bool is_connected_ = false;
    bool is_busy_ = false;
    bool is_head_request_ = false;
    /// The whole request was written without an error.
    bool is_written_ = false;
    bool is_reading_ = false;
    bool has_response_ = false;
    /// The response being read belongs to an earlier exchange.
    bool is_stale_response_ = false;
    /// Bytes of such responses that were dropped during this exchange.
    std::size_t dropped_bytes_ = 0;
    bool can_reuse_ = true;
    bool is_closed_ = false;
    bool was_closed_by_upstream_ = false;
    unsigned keep_alive_s_ = 0;
    /// Incremented for each exchange to recognize late completions of an earlier one.
    std::uint64_t exchange_number_ = 0;
};

} // namespace snipespar::gateway
