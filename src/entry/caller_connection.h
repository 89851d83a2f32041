#pragma once

#include "entry/budget_reservation.h"
#include "entry/caller_request.h"
#include "entry/connection_services.h"
#include "entry/response_recorder.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace snipespar::entry {

/// One caller's HTTP connection: reads requests sequentially and writes each one's complete
/// response or single final error before it reads the next. All members are called on one executor.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(boost::asio::ip::tcp::socket socket, const connection_services& services);

    /// Serves requests until the connection ends.
    boost::asio::awaitable<void> serve();

    /// Closes the connection if no request is in progress, otherwise after the response.
    void drain();

    /// Ends the request in progress if its key is no longer valid.
    void check_key(const config::access& access);

private:
    enum class next_step { read_again, close };
    struct reply;
    struct claim_result;

    boost::asio::awaitable<std::optional<caller_request>> read_request();
    boost::asio::awaitable<next_step> respond(const caller_request& request);
    boost::asio::awaitable<next_step> respond_planned(const caller_request& request);
    boost::asio::awaitable<next_step> run_claimed(const planned_request& planned);
    boost::asio::awaitable<claim_result> claim(const planned_request& planned);
    boost::asio::awaitable<next_step> write_replay(const claims::recorded_answer& answer);
    void finish_claim(const claims::claim_nonce& nonce);
    boost::asio::awaitable<next_step> admit(const planned_request& planned);
    boost::asio::awaitable<next_step> run(const planned_request& planned);
    boost::asio::awaitable<bool> may_deliver();
    void charge_prompt(const response_end& end, const planned_request& planned);
    boost::asio::awaitable<next_step> relay(request_session& session,
                                            const planned_request& planned);
    boost::asio::awaitable<next_step>
    relay_tokens(request_session& session, const planned_request& planned, response_part first);
    boost::asio::awaitable<next_step>
    relay_body(request_session& session, const planned_request& planned, response_part first);
    boost::asio::awaitable<next_step>
    collect_tokens(request_session& session, const planned_request& planned, response_part first);
    boost::asio::awaitable<next_step> write_refusal(const refusal& error);
    boost::asio::awaitable<next_step> write_end(const response_end& end);
    boost::asio::awaitable<next_step> write_whole(const reply& whole);
    boost::asio::awaitable<bool> write_head(const reply& head);
    boost::asio::awaitable<bool> write_chunk(std::string_view bytes);
    boost::asio::awaitable<bool> write_last_chunk();
    void begin_outcome(const caller_request& request);
    void record_end(const response_end& end);
    void watch_for_close(const std::shared_ptr<request_session>& session);
    bool keep_alive() const;

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    const connection_services& services_;
    std::shared_ptr<request_session> session_;
    /// Tokens of the current request; none for plain services.
    std::unique_ptr<budget_reservation> reservation_;
    boost::asio::cancellation_signal stop_watching_;
    std::string request_id_;
    request_outcome outcome_;
    /// Set while a claimed call runs. Such a call continues when its caller disconnects, so that a
    /// retry gets its response.
    std::optional<response_recorder> recorder_;
    bool reading_ = false;
    /// What the caller's current request allows.
    bool caller_keeps_alive_ = false;
    bool caller_accepts_chunked_ = true;
    bool head_only_ = false;
};

} // namespace snipespar::entry
