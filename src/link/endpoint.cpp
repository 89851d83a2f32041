#include "link/endpoint.h"

#include "base/digest.h"
#include "link/endpoint_options.h"
#include "link/frame_codec.h"
#include "link/handshake.h"
#include "link/heartbeat_monitor.h"
#include "link/link.h"
#include "net/steady_time.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <random>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace snipespar::link {

namespace {

using server_type = websocketpp::server<websocketpp::config::asio>;
using client_type = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;

constexpr std::size_t nonce_bytes = 32;
constexpr int listen_backlog = 1024;

long to_milliseconds(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

// State of one connection, from the open socket to the end of its link.
struct endpoint_connection {
    endpoint_connection(handshake handshake_state, heartbeat_monitor monitor, bool listener)
        : handshake_state(std::move(handshake_state)), monitor(monitor), is_listener(listener)
    {
    }

    handshake handshake_state;
    heartbeat_monitor monitor;
    bool is_listener;
    time_point opened{};
    std::string dialled;
    std::string address;
    link_ptr established;
    std::string close_reason;
    std::function<void(const std::string&)> send;
    std::function<void()> terminate;
};

class endpoint::impl : public std::enable_shared_from_this<endpoint::impl> {
public:
    impl(boost::asio::io_context& context, endpoint_options options, link_handler handler)
        : context_(context), options_(std::move(options)), handler_(std::move(handler)),
          timer_(context), random_(options_.seed)
    {
        prepare(server_);
        prepare(client_);
        server_.set_reuse_addr(true);
        server_.set_listen_backlog(listen_backlog);
    }

    absl::Status listen(const std::string& address, std::uint16_t port)
    {
        boost::system::error_code bad_address;
        const auto ip = boost::asio::ip::make_address(address, bad_address);
        if (bad_address) {
            return absl::InvalidArgumentError(absl::StrCat(address, ": ", bad_address.message()));
        }
        websocketpp::lib::error_code error;
        server_.listen(boost::asio::ip::tcp::endpoint(ip, port), error);
        if (error) {
            return absl::UnavailableError(
                absl::StrCat("cannot listen on ", address, ":", port, ": ", error.message()));
        }
        server_.start_accept(error);
        if (error) {
            return absl::UnavailableError(error.message());
        }
        listening_ = true;
        return absl::OkStatus();
    }

    void start() { schedule_tick(); }

    void dial(const std::string& target)
    {
        if (targets_.emplace(target, dial_state{options_.min_redial_delay}).second) {
            connect(target);
        }
    }

    void disconnect(const std::string& target)
    {
        targets_.erase(target);
        std::vector<connection_key> matching;
        for (const auto& [key, connection] : connections_) {
            if (connection->dialled == target) {
                matching.push_back(key);
            }
        }
        for (const auto& key : matching) {
            close_connection(key, "no longer configured");
        }
    }

    void advertise(std::uint64_t version) { config_version_.store(version); }

    void stop()
    {
        if (stopped_) {
            return;
        }
        stopped_ = true;
        targets_.clear();
        timer_.cancel();
        if (listening_) {
            websocketpp::lib::error_code ignored;
            server_.stop_listening(ignored);
        }
        while (!connections_.empty()) {
            close_connection(connections_.begin()->first, "stopped");
        }
    }

private:
    using connection_key = std::uint64_t;

    struct dial_state {
        duration next_delay;
    };

    template <class Endpoint>
    void prepare(Endpoint& side)
    {
        side.clear_access_channels(websocketpp::log::alevel::all);
        side.clear_error_channels(websocketpp::log::elevel::all);
        side.init_asio(&context_);
        side.set_max_message_size(max_frame_bytes);
        side.set_open_handshake_timeout(to_milliseconds(options_.handshake_timeout));
        side.set_tcp_post_init_handler([&side](const connection_hdl& handle) {
            websocketpp::lib::error_code error;
            const auto connection = side.get_con_from_hdl(handle, error);
            if (!error) {
                boost::system::error_code ignored;
                connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true),
                                                        ignored);
            }
        });
        if constexpr (std::is_same_v<Endpoint, server_type>) {
            side.set_open_handler([this](const connection_hdl& handle) {
                websocketpp::lib::error_code error;
                const auto connection = server_.get_con_from_hdl(handle, error);
                if (!error) {
                    opened(connection, "", true);
                }
            });
        }
    }

    void connect(const std::string& target)
    {
        websocketpp::lib::error_code error;
        const auto connection = client_.get_connection("ws://" + target, error);
        if (error) {
            schedule_redial(target);
            return;
        }
        const std::weak_ptr<impl> weak = weak_from_this();
        connection->set_open_handler([weak, target](const connection_hdl& handle) {
            const auto self = weak.lock();
            websocketpp::lib::error_code unknown;
            if (!self) {
                return;
            }
            if (const auto open = self->client_.get_con_from_hdl(handle, unknown); !unknown) {
                self->opened(open, target, false);
            }
        });
        connection->set_fail_handler([weak, target](const connection_hdl&) {
            if (const auto self = weak.lock()) {
                self->schedule_redial(target);
            }
        });
        client_.connect(connection);
    }

    void schedule_redial(const std::string& target)
    {
        const auto found = targets_.find(target);
        if (stopped_ || found == targets_.end()) {
            return;
        }
        const duration delay = found->second.next_delay;
        found->second.next_delay = std::min(2 * delay, options_.max_redial_delay);
        std::uniform_int_distribution<duration::rep> jitter(delay.count() / 2, delay.count());
        auto timer = std::make_shared<boost::asio::steady_timer>(context_);
        timer->expires_after(duration(jitter(random_)));
        timer->async_wait([weak = weak_from_this(), timer, target](const auto& error) {
            const auto self = weak.lock();
            if (!error && self && !self->stopped_ && self->targets_.contains(target)) {
                self->connect(target);
            }
        });
    }

    template <class Connection>
    void opened(const Connection& connection, const std::string& target, bool is_listener)
    {
        if (stopped_ || (!is_listener && !targets_.contains(target))) {
            terminate(connection);
            return;
        }
        const auto now = steady_now();
        const connection_key key = ++last_key_;
        auto state = std::make_unique<endpoint_connection>(
            handshake(options_.fleet_secret, options_.self, random_bytes(nonce_bytes)),
            heartbeat_monitor(options_.heartbeat_interval, options_.heartbeat_timeout, now),
            is_listener);
        state->opened = now;
        state->dialled = target;
        state->address = connection->get_remote_endpoint();
        state->send = [connection](const std::string& bytes) {
            connection->send(bytes, websocketpp::frame::opcode::binary);
        };
        state->terminate = [connection] { terminate(connection); };
        const std::weak_ptr<impl> weak = weak_from_this();
        connection->set_message_handler([weak, key](const connection_hdl&, const auto& message) {
            if (const auto self = weak.lock()) {
                self->message_received(key, message->get_payload());
            }
        });
        connection->set_close_handler([weak, key](const connection_hdl&) {
            if (const auto self = weak.lock()) {
                self->close_connection(key, "closed by the peer");
            }
        });
        const auto& added = *connections_.emplace(key, std::move(state)).first->second;
        if (is_listener) {
            added.send(encode(added.handshake_state.make_challenge()));
        }
    }

    template <class Connection>
    static void terminate(const Connection& connection)
    {
        // The handlers own the connection; without them it is freed when its socket is closed.
        connection->set_message_handler(nullptr);
        connection->set_close_handler(nullptr);
        connection->set_open_handler(nullptr);
        connection->set_fail_handler(nullptr);
        connection->terminate(websocketpp::lib::error_code());
    }

    void message_received(connection_key key, const std::string& bytes)
    {
        const auto found = connections_.find(key);
        if (found == connections_.end()) {
            return;
        }
        endpoint_connection& connection = *found->second;
        const bool in_handshake = connection.established == nullptr;
        if (in_handshake && bytes.size() > max_handshake_frame_bytes) {
            close_connection(key, "frame before authentication is too large");
            return;
        }
        auto message = decode(bytes);
        if (!message.ok()) {
            close_connection(key, std::string(message.status().message()));
            return;
        }
        connection.monitor.frame_received(steady_now());
        if (in_handshake) {
            continue_handshake(key, connection, *message);
        }
        else {
            established_frame(connection, std::move(*message));
        }
    }

    void continue_handshake(connection_key key, endpoint_connection& connection,
                            const frame& message)
    {
        absl::Status status = absl::PermissionDeniedError("unexpected frame in the handshake");
        bool finished = false;
        if (const auto* received_credentials = std::get_if<credentials>(&message);
            received_credentials != nullptr && connection.is_listener) {
            const auto reply = connection.handshake_state.accept(*received_credentials);
            status = reply.status();
            if (reply.ok()) {
                connection.send(encode(*reply));
                finished = true;
            }
        }
        if (const auto* received_challenge = std::get_if<challenge>(&message);
            received_challenge != nullptr && !connection.is_listener) {
            const auto response = connection.handshake_state.respond(*received_challenge);
            status = response.status();
            if (response.ok()) {
                connection.send(encode(*response));
            }
        }
        if (const auto* received_welcome = std::get_if<welcome>(&message);
            received_welcome != nullptr && !connection.is_listener) {
            status = connection.handshake_state.finish(*received_welcome);
            finished = status.ok();
        }
        if (!status.ok()) {
            close_connection(key, std::string(status.message()));
        }
        else if (finished) {
            establish(key, connection);
        }
    }

    void establish(connection_key key, endpoint_connection& connection)
    {
        if (const auto target = targets_.find(connection.dialled); target != targets_.end()) {
            target->second.next_delay = options_.min_redial_delay;
        }
        const std::weak_ptr<impl> weak = weak_from_this();
        link::transport transport;
        transport.send = [weak, key](std::string bytes) {
            run_on_context(
                weak, [key, bytes = std::move(bytes)](impl& self) { self.send_bytes(key, bytes); });
        };
        transport.close = [weak, key](std::string reason) {
            run_on_context(weak, [key, reason = std::move(reason)](impl& self) {
                self.close_connection(key, reason);
            });
        };
        connection.established = std::make_shared<const link>(
            connection.handshake_state.remote(), connection.address, std::move(transport));
        const link_ptr established = connection.established;
        handler_.up(established);
    }

    void established_frame(endpoint_connection& connection, frame message)
    {
        if (const auto* received_heartbeat = std::get_if<heartbeat>(&message)) {
            connection.send(
                encode(heartbeat_ack{received_heartbeat->sequence, config_version_.load()}));
        }
        const link_ptr established = connection.established;
        handler_.received(established, std::move(message));
    }

    template <class Action>
    static void run_on_context(const std::weak_ptr<impl>& weak, Action action)
    {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        boost::asio::dispatch(self->context_, [weak, action = std::move(action)] {
            if (const auto alive = weak.lock()) {
                action(*alive);
            }
        });
    }

    void send_bytes(connection_key key, const std::string& bytes)
    {
        const auto found = connections_.find(key);
        if (found != connections_.end()) {
            found->second->send(bytes);
        }
    }

    void close_connection(connection_key key, const std::string& reason)
    {
        const auto found = connections_.find(key);
        if (found == connections_.end()) {
            return;
        }
        const auto connection = std::move(found->second);
        connections_.erase(found);
        // Deferred, because this may run inside one of the connection's own handlers.
        boost::asio::post(context_, connection->terminate);
        if (connection->established) {
            handler_.down(connection->established, reason);
        }
        if (!connection->dialled.empty()) {
            schedule_redial(connection->dialled);
        }
    }

    void schedule_tick()
    {
        timer_.expires_after(options_.heartbeat_interval / 4);
        timer_.async_wait([weak = weak_from_this()](const auto& error) {
            const auto self = weak.lock();
            if (!error && self && !self->stopped_) {
                self->tick();
                self->schedule_tick();
            }
        });
    }

    void tick()
    {
        const auto now = steady_now();
        std::vector<std::pair<connection_key, std::string>> lost;
        for (auto& [key, connection] : connections_) {
            const auto action = connection->monitor.tick(now);
            if (action == heartbeat_monitor::action::declare_dead) {
                lost.emplace_back(key, "silent");
            }
            else if (connection->established == nullptr &&
                     now - connection->opened >= options_.handshake_timeout) {
                lost.emplace_back(key, "handshake timed out");
            }
            else if (connection->established &&
                     action == heartbeat_monitor::action::send_heartbeat) {
                connection->send(
                    encode(heartbeat{connection->monitor.next_sequence(), config_version_.load()}));
            }
        }
        for (const auto& [key, reason] : lost) {
            close_connection(key, reason);
        }
    }

    boost::asio::io_context& context_;
    endpoint_options options_;
    link_handler handler_;
    boost::asio::steady_timer timer_;
    std::mt19937_64 random_;
    server_type server_;
    client_type client_;
    std::map<std::string, dial_state> targets_;
    std::map<connection_key, std::unique_ptr<endpoint_connection>> connections_;
    connection_key last_key_ = 0;
    std::atomic<std::uint64_t> config_version_{0};
    bool listening_ = false;
    bool stopped_ = false;
};

endpoint::endpoint(boost::asio::io_context& context, endpoint_options options, link_handler handler)
    : impl_(std::make_shared<impl>(context, std::move(options), std::move(handler)))
{
    impl_->start();
}

endpoint::~endpoint()
{
    stop();
}

absl::Status endpoint::listen(const std::string& address, std::uint16_t port)
{
    return impl_->listen(address, port);
}

void endpoint::dial(const std::string& address, std::uint16_t port)
{
    impl_->dial(absl::StrCat(address, ":", port));
}

void endpoint::disconnect(const std::string& address, std::uint16_t port)
{
    impl_->disconnect(absl::StrCat(address, ":", port));
}

void endpoint::advertise(std::uint64_t config_version)
{
    impl_->advertise(config_version);
}

void endpoint::stop()
{
    impl_->stop();
}

} // namespace snipespar::link
