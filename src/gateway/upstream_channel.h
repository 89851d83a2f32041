#pragma once

#include "cli/endpoint.h"
#include "gateway/answer_header.h"
#include "snipespar/time.h"

#include <absl/status/status.h>
#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace snipespar::gateway {

/// What the user of a channel is told about one exchange. After `ended` or `failed` nothing more
/// comes.
struct channel_handler {
    std::function<void(const answer_header&)> header;
    std::function<void(std::string_view)> body;
    /// The answer is complete.
    std::function<void()> ended;
    /// Unavailable: the upstream has not received the call. Unknown: it may have run it.
    std::function<void(const absl::Status&)> failed;
};

/// One HTTP connection to an upstream, which carries one exchange at a time.
class upstream_channel : public std::enable_shared_from_this<upstream_channel> {
public:
    upstream_channel(const boost::asio::any_io_executor& executor, cli::endpoint upstream);

    /// Connects if needed and sends one request. An answer with another request id than
    /// `request_id` belongs to an earlier exchange and is dropped.
    void exchange(std::string head, std::string body, std::string request_id, bool is_head_request,
                  duration connect_timeout, channel_handler handler);

    /// Ends the exchange, if there is one, and closes the connection; the upstream then stops its
    /// work. The connection is reset, so that a request which the upstream has not read yet is
    /// lost and never runs.
    void abandon();

    /// Whether a further exchange may use the connection.
    bool is_reusable() const;

    /// Watches the idle connection; `closed` is called once when the upstream closes it or sends
    /// something unasked.
    void watch_idle(std::function<void()> closed);

    /// Seconds for which the upstream keeps an idle connection, 0 when it did not say.
    unsigned keep_alive_s() const { return keep_alive_s_; }
    const cli::endpoint& upstream() const { return upstream_; }

private:
    using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect(duration timeout);
    void write();
    void read();
    void on_bytes(std::size_t count);
    bool parse(boost::system::error_code& error);
    bool take_header();
    void pass_body();
    void finish();
    void fail(const absl::Status& status);
    void close();

    boost::asio::ip::tcp::socket socket_;
    cli::endpoint upstream_;
    channel_handler handler_;
    std::string head_;
    std::string body_;
    std::string request_id_;
    std::optional<parser> parser_;
    std::array<char, 8192> block_{};
    /// Bytes received and not parsed yet.
    std::string input_;
    bool is_connected_ = false;
    bool is_busy_ = false;
    bool is_head_request_ = false;
    bool is_written_ = false;
    bool is_reading_ = false;
    bool has_answer_ = false;
    /// The answer being read belongs to an earlier exchange.
    bool is_stray_ = false;
    bool can_reuse_ = true;
    bool is_closed_ = false;
    unsigned keep_alive_s_ = 0;
    /// Raised at each exchange, so that late completions of an earlier one are told apart.
    std::uint64_t round_ = 0;
};

} // namespace snipespar::gateway
