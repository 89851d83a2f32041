#include "gateway/upstream_channel.h"

#include "net/connection_end.h"
#include "net/resource_error.h"
#include "net/socket_options.h"
#include "platform/call_codec.h"

#include <absl/strings/match.h>
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <cerrno>
#include <exception>
#include <string>
#include <sys/socket.h>
#include <utility>

namespace snipespar::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// Response headers are small; a larger one indicates a faulty upstream.
constexpr std::uint32_t max_response_header_bytes = 32 * 1024;
// Responses to earlier requests and interim ones that are dropped during one exchange.
constexpr std::size_t max_dropped_bytes = 1024UL * 1024;
// Received bytes that the parser cannot use before more arrive, such as the header of a chunk.
constexpr std::size_t max_unparsed_bytes = 64UL * 1024;
// Refused requests that a connection remembers; it is closed after one more.
constexpr std::size_t max_refused_requests = 32;

// Only a body of a stated length, in chunks, or up to the end of the connection has a known end
// (RFC 9112, section 6.3).
bool has_known_framing(const http::fields& header)
{
    const auto codings = header.count(http::field::transfer_encoding);
    return codings == 0 ||
           (codings == 1 &&
            absl::EqualsIgnoreCase(std::string(header[http::field::transfer_encoding]), "chunked"));
}

absl::Status connect_status(const boost::system::error_code& error)
{
    return net::is_resource_error(error) ? absl::ResourceExhaustedError(error.message())
                                         : absl::UnavailableError(error.message());
}

} // namespace

upstream_channel::upstream_channel(const asio::any_io_executor& executor, cli::endpoint upstream)
    : socket_(executor), upstream_(std::move(upstream))
{
}

void upstream_channel::exchange(std::string head, std::shared_ptr<const std::string> body,
                                std::string request_id, bool is_head_request,
                                duration connect_timeout, channel_handler handler)
{
    head_ = std::move(head);
    body_ = std::move(body);
    request_id_ = std::move(request_id);
    handler_ = std::move(handler);
    is_head_request_ = is_head_request;
    is_busy_ = true;
    is_written_ = false;
    has_response_ = false;
    is_stale_response_ = false;
    dropped_bytes_ = 0;
    ++exchange_number_;
    if (is_connected_) {
        write();
    }
    else {
        connect(connect_timeout);
    }
}

void upstream_channel::connect(duration timeout)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(upstream_.ip, error);
    if (error) {
        asio::post(socket_.get_executor(), [self = shared_from_this(), error] {
            self->fail(absl::UnavailableError(error.message()));
        });
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(socket_.get_executor(), timeout);
    timer->async_wait([self = shared_from_this(), timer](const auto& wait_error) {
        if (!wait_error && !self->is_connected_) {
            self->fail(absl::UnavailableError("connect timed out"));
        }
    });
    socket_.async_connect(asio::ip::tcp::endpoint(address, upstream_.port),
                          [self = shared_from_this(), timer](const auto& connect_error) {
                              timer->cancel();
                              if (self->is_closed_) {
                                  return;
                              }
                              if (connect_error) {
                                  return self->fail(connect_status(connect_error));
                              }
                              self->is_connected_ = true;
                              net::set_liveness_options(self->socket_);
                              const auto is_wanted = self->handler_.is_wanted;
                              if (!is_wanted || is_wanted()) {
                                  self->write();
                              }
                          });
}

void upstream_channel::reset_parser()
{
    parser_.emplace();
    feed_ = {};
    parser_->header_limit(max_response_header_bytes);
    parser_->body_limit(boost::none);
    parser_->skip(is_head_request_);
}

void upstream_channel::write()
{
    reset_parser();
    const auto body = std::exchange(body_, nullptr);
    const std::array<asio::const_buffer, 2> buffers{
        asio::buffer(head_), body == nullptr ? asio::const_buffer() : asio::buffer(*body)};
    asio::async_write(socket_, buffers,
                      [self = shared_from_this(), body,
                       number = exchange_number_](const auto& error, std::size_t written) {
                          if (self->is_closed_ || number != self->exchange_number_) {
                              return;
                          }
                          if (!error) {
                              self->is_written_ = true;
                              return;
                          }
                          self->can_reuse_ = false;
                          if (written == 0 && !self->has_response_) {
                              self->fail(absl::UnavailableError(error.message()));
                          }
                      });
    if (!is_reading_) {
        read();
    }
}

void upstream_channel::read()
{
    is_reading_ = true;
    socket_.async_read_some(asio::buffer(read_buffer_), [self = shared_from_this()](
                                                            const auto& error, std::size_t count) {
        self->is_reading_ = false;
        if (self->is_closed_ || !self->is_busy_) {
            return;
        }
        if (!error) {
            return self->on_bytes(count);
        }
        boost::system::error_code parse_error;
        if (error == asio::error::eof && self->has_response_ && self->parser_) {
            self->can_reuse_ = false;
            self->parser_->put_eof(parse_error);
            if (!parse_error && self->parser_->is_done()) {
                if (!self->is_whole()) {
                    return self->fail(
                        absl::UnknownError("the connection broke before the answer was complete"));
                }
                self->was_closed_by_upstream_ = true;
                self->forward_body();
                return self->finish();
            }
        }
        self->fail(absl::UnknownError(error.message()));
    });
}

// Whether the end of the connection is the end of the response, which states none. The error of a
// reset may have gone to the write of the request, so that the read sees a plain end.
bool upstream_channel::is_whole()
{
    return is_written_ && net::is_end_of_answer(socket_, parser_->get().result_int());
}

void upstream_channel::on_bytes(std::size_t count)
{
    const auto self = shared_from_this();
    input_.append(read_buffer_.data(), count);
    boost::system::error_code error;
    try {
        while (is_busy_ && !is_closed_ && parse(error)) {
        }
    }
    catch (const std::exception& failure) {
        return fail(absl::UnknownError(failure.what()));
    }
    if (error) {
        return fail(absl::UnknownError(error.message()));
    }
    // An exchange that was begun at the end of this one reads already.
    if (is_busy_ && !is_closed_ && !is_reading_) {
        read();
    }
}

// Parses the buffered input; returns whether parsing should continue with the remaining bytes.
bool upstream_channel::parse(boost::system::error_code& error)
{
    if (input_.empty()) {
        return false;
    }
    const auto used = feed_.put(*parser_, input_, error);
    input_.erase(0, used);
    if (error == http::error::need_more) {
        error = {};
    }
    if (!error && used == 0 && input_.size() > max_unparsed_bytes) {
        error = http::error::header_limit;
    }
    if (error) {
        return false;
    }
    if (parser_->is_header_done() && !has_response_ && !is_stale_response_ && !handle_header()) {
        return false;
    }
    if (!is_busy_ || is_closed_) {
        return false;
    }
    if (is_stale_response_) {
        parser_->get().body().clear();
        dropped_bytes_ += used;
        if (dropped_bytes_ > max_dropped_bytes) {
            error = http::error::body_limit;
            return false;
        }
    }
    // A read may bring several chunks.
    const bool goes_on = !parser_->is_done() && used != 0 && !input_.empty();
    if (has_response_ && !goes_on) {
        forward_body();
    }
    if (!is_busy_ || is_closed_) {
        return false;
    }
    if (!parser_->is_done()) {
        return goes_on;
    }
    if (is_stale_response_) {
        is_stale_response_ = false;
        const bool can_continue = parser_->get().keep_alive();
        reset_parser();
        if (!can_continue) {
            error = asio::error::make_error_code(asio::error::connection_aborted);
        }
        return can_continue;
    }
    finish();
    return false;
}

upstream_channel::response_owner upstream_channel::owner_of(const answer_header& response) const
{
    constexpr unsigned first_final_status = 200;
    if (response.status < first_final_status) {
        return response_owner::none;
    }
    if (response.request_id == request_id_) {
        return response_owner::this_exchange;
    }
    return response.request_id.empty() ? response_owner::unknown : response_owner::none;
}

// Checks which exchange the response belongs to; returns whether the exchange continues.
bool upstream_channel::handle_header()
{
    if (!has_known_framing(parser_->get())) {
        fail(absl::UnknownError("unknown transfer coding"));
        return false;
    }
    auto response = platform::decode_answer(parser_->get());
    switch (owner_of(response)) {
    case response_owner::this_exchange:
        break;
    case response_owner::none:
        is_stale_response_ = true;
        // Where the responses of this connection end is in doubt.
        can_reuse_ = false;
        return true;
    case response_owner::unknown:
        fail(absl::UnknownError("an answer that names no request"));
        return false;
    }
    has_response_ = true;
    response.ends_with_connection = parser_->need_eof();
    if (response.states_not_run || response.is_misdirected()) {
        note_refused_request();
    }
    keep_alive_s_ = response.keep_alive_s;
    if (!parser_->get().keep_alive()) {
        can_reuse_ = false;
    }
    const auto header = handler_.header;
    header(response);
    return is_busy_ && !is_closed_;
}

void upstream_channel::forward_body()
{
    auto& body = parser_->get().body();
    if (!body.empty()) {
        const std::string bytes = std::move(body);
        body.clear();
        const auto handle = handler_.body;
        handle(bytes);
    }
}

void upstream_channel::finish()
{
    is_busy_ = false;
    // Bytes beyond the response belong to no request, and a request that is not completely written
    // would mix with the next one.
    can_reuse_ = can_reuse_ && input_.empty() && is_written_;
    const auto ended = std::exchange(handler_, {}).ended;
    ended();
}

void upstream_channel::fail(const absl::Status& status)
{
    const auto self = shared_from_this();
    const bool was_busy = std::exchange(is_busy_, false);
    close();
    const auto failed = std::exchange(handler_, {}).failed;
    if (was_busy && failed) {
        failed(status);
    }
}

void upstream_channel::abandon()
{
    if (std::exchange(is_busy_, false) && is_connected_) {
        boost::system::error_code ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    handler_ = {};
    close();
}

bool upstream_channel::is_reusable() const
{
    return can_reuse_ && is_connected_ && !is_closed_ && !is_busy_;
}

// A repetition of the refusal would be taken for the answer if the request came here again.
void upstream_channel::note_refused_request()
{
    if (refused_requests_.size() < max_refused_requests) {
        refused_requests_.push_back(request_id_);
    }
    else {
        can_reuse_ = false;
    }
}

bool upstream_channel::can_take_request(std::string_view request_id)
{
    char byte = 0;
    // Would block if neither bytes nor the end of the connection have arrived.
    return is_reusable() &&
           std::ranges::find(refused_requests_, request_id) == refused_requests_.end() &&
           ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           errno == EAGAIN;
}

void upstream_channel::watch_idle(std::function<void()> closed)
{
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this(), number = exchange_number_,
                        closed = std::move(closed)](const auto& error) {
                           if (!error && !self->is_closed_ && !self->is_busy_ &&
                               number == self->exchange_number_) {
                               self->close();
                               closed();
                           }
                       });
}

void upstream_channel::close()
{
    if (!is_closed_) {
        is_closed_ = true;
        can_reuse_ = false;
        body_ = nullptr;
        boost::system::error_code ignored;
        socket_.close(ignored);
    }
}

} // namespace snipespar::gateway
