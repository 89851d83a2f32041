#include "gateway/caller_connection.h"

#include "gateway/call_exchange.h"
#include "gateway/fleet_config.h"
#include "gateway/gateway_context.h"
#include "gateway/refusal.h"
#include "net/request_framing.h"
#include "net/socket_options.h"
#include "net/steady_time.h"
#include "platform/call_codec.h"
#include "telemetry/work_boundary.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/string_body.hpp>
#include <poll.h>
#include <utility>

namespace snipespar::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// Bytes of further requests that are buffered while one is in progress.
constexpr std::size_t max_pipelined_bytes = 64UL * 1024;
// Chunk extensions mean nothing here; far more than any sender adds to one request.
constexpr std::size_t max_extension_bytes = 16UL * 1024;
// A connection without a request for less is not closed by a stopping gateway.
constexpr auto min_idle_time = std::chrono::milliseconds(500);
// After the last answer the caller gets this long to read it and close, and may send this many
// further bytes, such as the rest of a refused body.
constexpr auto linger_time = std::chrono::milliseconds(2000);
// While memory is scarce a caller that takes nothing of its answer for so long is cut.
constexpr auto reading_timeout = std::chrono::milliseconds(2000);
constexpr std::size_t max_discarded_bytes = 16UL * 1024 * 1024;

} // namespace

caller_connection::caller_connection(asio::ip::tcp::socket socket, gateway_context& context)
    : socket_(std::move(socket)), context_(context),
      check_chunk_line_([this](std::uint64_t /*size*/, boost::beast::string_view extensions,
                               boost::system::error_code& error) {
          extension_bytes_ += extensions.size();
          // The parser takes any byte within quotes, also one that ends a line for other readers.
          if (extension_bytes_ > max_extension_bytes ||
              std::ranges::any_of(extensions, [](char item) {
                  return absl::ascii_iscntrl(static_cast<unsigned char>(item)) && item != '\t';
              })) {
              error = http::error::bad_chunk_extension;
          }
      }),
      input_share_(context.request_memory), output_share_(context.answer_memory),
      idle_since_(steady_now())
{
}

void caller_connection::start()
{
    net::set_liveness_options(socket_);
    reset_parser();
    read();
}

void caller_connection::reset_parser()
{
    const caller_limits limits = context_.config ? context_.config->limits() : caller_limits{};
    parser_.emplace();
    parser_->header_limit(limits.max_header_bytes);
    parser_->body_limit(limits.max_body_bytes);
    extension_bytes_ = 0;
    parser_->on_chunk_header(check_chunk_line_);
    // The header is checked before the first byte after it is read.
    parser_->eager(false);
    is_continue_sent_ = false;
    is_header_checked_ = false;
    head_.reset();
}

void caller_connection::read()
{
    if (is_reading_ || is_closed_ || input_.size() > max_pipelined_bytes) {
        return;
    }
    is_reading_ = true;
    socket_.async_read_some(asio::buffer(read_buffer_),
                            [self = shared_from_this()](const auto& error, std::size_t count) {
                                self->is_reading_ = false;
                                self->contain([&] { self->on_read(error, count); });
                            });
}

// A fault in one request ends its connection only.
void caller_connection::contain(const std::function<void()>& action)
{
    const auto current = exchange_;
    telemetry::contain(
        context_.log, "connection", current == nullptr ? std::string_view() : current->request_id(),
        [&] { action(); }, [&] { on_fault(); });
}

// The caller of a request that was read whole gets its answer, also after a fault.
void caller_connection::on_fault()
{
    const auto current = exchange_;
    if (current == nullptr) {
        return on_disconnected();
    }
    telemetry::contain(
        context_.log, "exchange", current->request_id(), [&] { current->abort(); },
        [&] { current->drop(); });
}

void caller_connection::on_read(const boost::system::error_code& error, std::size_t count)
{
    if (is_closed_) {
        return;
    }
    if (error) {
        return on_disconnected();
    }
    if (closes_at_) {
        return discard(count);
    }
    input_.append(read_buffer_.data(), count);
    if (exchange_ == nullptr && !is_closing_) {
        parse();
    }
    if (!takes_memory_of_request()) {
        reset_parser();
        input_ = {};
        return refuse_and_close({503, "memory_used_up", std::nullopt, true});
    }
    read();
}

// Whether there is memory for what has arrived of a request that is not complete.
bool caller_connection::takes_memory_of_request()
{
    const bool is_receiving = request_started_at_ && !is_closing_ && !is_closed_;
    return !is_receiving ||
           input_share_.try_resize(parser_->get().body().capacity() + input_.capacity());
}

void caller_connection::parse()
{
    while (!input_.empty() && exchange_ == nullptr && !is_closing_ && !is_closed_) {
        if (!request_started_at_) {
            request_started_at_ = steady_now();
            request_arrived_at_ = context_.arrivals.arrival(
                *request_started_at_, [this] { return net::time_since_received(socket_); });
            reset_parser();
        }
        boost::system::error_code error;
        const auto used = parser_->put(asio::buffer(input_), error);
        input_.erase(0, used);
        if (error && error != http::error::need_more) {
            return refuse_bad_request(error);
        }
        if (parser_->is_header_done() && !is_header_checked_) {
            is_header_checked_ = true;
            const auto framing = net::check_framing(parser_->get().base());
            if (!framing.ok()) {
                return refuse_and_close({400, std::string(framing.message()), std::nullopt, true});
            }
            if (parser_->chunked()) {
                head_ = parser_->get().base();
            }
            parser_->eager(true);
        }
        if (parser_->is_done()) {
            start_request();
            continue;
        }
        if (parser_->is_header_done() && !is_continue_sent_ &&
            absl::EqualsIgnoreCase(std::string(parser_->get()[http::field::expect]),
                                   "100-continue")) {
            is_continue_sent_ = true;
            send("HTTP/1.1 100 Continue\r\n\r\n");
        }
        if (used == 0 || error == http::error::need_more) {
            // A line that is larger than what is buffered would never be completed.
            if (input_.size() > max_pipelined_bytes) {
                return refuse_and_close({parser_->is_header_done() ? 400U : 431U,
                                         parser_->is_header_done()
                                             ? "a chunk's line or the trailers are too large"
                                             : "the request header is too large",
                                         std::nullopt, true});
            }
            return;
        }
    }
}

void caller_connection::start_request()
{
    request_started_at_.reset();
    context_.metrics.calls.add();
    auto received = parser_->release();
    http::request<http::string_body> message(head_ ? *std::exchange(head_, std::nullopt)
                                                   : std::move(received.base()),
                                             std::move(received.body()));
    const std::string id = platform::request_id_of(message);
    const bool closes = !message.keep_alive();
    auto call = platform::decode_call(std::move(message));
    if (!call.ok()) {
        context_.log.info(
            "call_refused",
            {{"request", id}, {"status", 400}, {"cause", std::string(call.status().message())}});
        context_.metrics.refusals.add();
        return send_refusal({400, std::string(call.status().message()), std::nullopt, closes}, id);
    }
    exchange_ = std::make_shared<call_exchange>(
        context_, shared_from_this(), *std::move(call), request_arrived_at_,
        std::exchange(input_share_, memory_share(context_.request_memory)));
    const auto started = exchange_;
    context_.exchanges.insert(started);
    started->start();
}

void caller_connection::refuse_bad_request(const boost::system::error_code& error)
{
    refusal refused{400, "malformed request: " + error.message(), std::nullopt, true};
    if (error == http::error::header_limit) {
        refused = {431, "the request header is too large", std::nullopt, true};
    }
    else if (error == http::error::body_limit) {
        refused = {413, "the request body is too large", std::nullopt, true};
    }
    refuse_and_close(refused);
}

void caller_connection::refuse_and_close(const refusal& refused)
{
    context_.log.info("call_refused", {{"status", refused.status}, {"cause", refused.cause}});
    context_.metrics.refusals.add();
    send_refusal(refused, {});
}

void caller_connection::send_refusal(const refusal& refused, const std::string& request_id)
{
    send(to_http(refused, request_id));
    end_response(refused.closes);
}

void caller_connection::send(std::string bytes)
{
    if (is_closed_) {
        return;
    }
    if (output_.empty()) {
        output_ = std::move(bytes);
    }
    else {
        output_ += bytes;
    }
    output_share_.resize(output_.capacity() + writing_.capacity());
    if (!is_writing_) {
        write();
    }
}

void caller_connection::write()
{
    is_writing_ = true;
    writing_ = std::exchange(output_, {});
    written_bytes_ = 0;
    write_progress_at_ = steady_now();
    write_some();
}

void caller_connection::write_some()
{
    socket_.async_write_some(asio::buffer(writing_) + written_bytes_,
                             [self = shared_from_this()](const auto& error, std::size_t count) {
                                 self->on_written(error, count);
                             });
}

void caller_connection::on_written(const boost::system::error_code& error, std::size_t count)
{
    if (is_closed_) {
        return;
    }
    written_bytes_ += count;
    write_progress_at_ = steady_now();
    if (!error && written_bytes_ < writing_.size()) {
        return write_some();
    }
    is_writing_ = false;
    writing_ = {};
    written_bytes_ = 0;
    output_share_.resize(output_.capacity());
    idle_since_ = write_progress_at_;
    if (error) {
        return on_disconnected();
    }
    if (!output_.empty()) {
        return write();
    }
    if (is_closing_) {
        shut_down();
    }
}

// A socket that does not linger is reset by its close, whoever closes it.
void caller_connection::expect_end_with_connection()
{
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    is_reset_by_close_ = true;
}

void caller_connection::end_response(bool closes)
{
    exchange_.reset();
    request_started_at_.reset();
    idle_since_ = steady_now();
    if (closes) {
        is_closing_ = true;
        if (!is_writing_) {
            shut_down();
        }
        return;
    }
    if (!input_.empty()) {
        asio::post(context_.executor, [self = shared_from_this()] {
            if (!self->is_closed_ && self->exchange_ == nullptr) {
                self->contain([&] {
                    self->parse();
                    self->read();
                });
            }
        });
    }
}

void caller_connection::abort()
{
    exchange_.reset();
    close();
}

void caller_connection::on_disconnected()
{
    if (const auto active_exchange = std::exchange(exchange_, nullptr)) {
        active_exchange->on_caller_disconnected();
    }
    close();
}

bool caller_connection::end_if_left()
{
    if (is_closed_) {
        return true;
    }
    pollfd state{socket_.native_handle(), POLLRDHUP, 0};
    // POLLRDHUP shows a close also behind bytes that are not read yet.
    const bool has_left = ::poll(&state, 1, 0) > 0 &&
                          (state.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
    if (has_left) {
        on_disconnected();
    }
    return has_left;
}

// A close with unread input resets the connection, which may destroy the answer on its way. So only
// the sending side is closed, and the input is dropped until the caller closes too.
void caller_connection::shut_down()
{
    if (is_closed_ || closes_at_) {
        return;
    }
    closes_at_ = steady_now() + linger_time;
    input_.clear();
    boost::system::error_code error;
    if (std::exchange(is_reset_by_close_, false)) {
        socket_.set_option(asio::socket_base::linger(false, 0), error);
    }
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    if (error) {
        return close();
    }
    read();
}

void caller_connection::discard(std::size_t count)
{
    discarded_bytes_ += count;
    if (discarded_bytes_ > max_discarded_bytes) {
        context_.log.info("caller_cut", {{"cause", "sends_on_after_its_answer"}});
        return close();
    }
    read();
}

void caller_connection::close()
{
    if (!is_closed_) {
        is_closed_ = true;
        boost::system::error_code ignored;
        if (!is_reset_by_close_) {
            socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        }
        socket_.close(ignored);
    }
}

void caller_connection::on_tick(time_point now)
{
    if (is_closed_ || exchange_ != nullptr) {
        return;
    }
    if (closes_at_) {
        if (now >= *closes_at_) {
            close();
        }
        return;
    }
    const caller_limits limits = context_.config ? context_.config->limits() : caller_limits{};
    if (request_started_at_) {
        // A body is limited by the idle timeout.
        const auto allowed =
            parser_->is_header_done() ? limits.idle_timeout : limits.header_timeout;
        if (now - *request_started_at_ > allowed && !is_closing_) {
            context_.log.info("call_refused", {{"status", 408}, {"cause", "request_too_slow"}});
            context_.metrics.refusals.add();
            send_refusal({408, "the request was not received in time", std::nullopt, true}, {});
        }
    }
    else if (!is_writing_ && now - idle_since_ > limits.idle_timeout) {
        close();
    }
}

std::optional<time_point> caller_connection::idle_since() const
{
    const bool is_idle = exchange_ == nullptr && !request_started_at_ && !is_writing_;
    return is_idle ? std::optional(idle_since_) : std::nullopt;
}

void caller_connection::close_for_descriptor()
{
    close();
}

void caller_connection::close_if_not_reading(time_point now)
{
    if (!is_closed_ && is_writing_ && now - write_progress_at_ >= reading_timeout) {
        context_.log.info("caller_cut", {{"cause", "does_not_read"}, {"unsent", unsent_bytes()}});
        on_disconnected();
    }
}

void caller_connection::end_for_stop()
{
    if (!is_closed_ && !is_closing_ && exchange_ == nullptr && request_started_at_) {
        refuse_and_close({503, "gateway_stopping", std::nullopt, true});
    }
}

void caller_connection::close_if_idle(time_point now)
{
    boost::system::error_code error;
    // The request of a fresh connection is most likely on its way.
    const bool is_idle = exchange_ == nullptr && !request_started_at_ && !is_writing_ &&
                         !closes_at_ && input_.empty() && now - idle_since_ >= min_idle_time;
    if (is_idle && socket_.available(error) == 0) {
        close();
    }
}

} // namespace snipespar::gateway
