#include "process/support/tcp_cutter.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <set>
#include <thread>
#include <tuple>
#include <utility>

namespace snipespar::testing {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds freeze_poll_interval{5};

// Both sockets of one relayed connection.
struct relayed {
    explicit relayed(tcp::socket accepted)
        : source(std::move(accepted)), target(source.get_executor())
    {
    }

    // Closes both sides with a reset.
    void reset()
    {
        for (auto* side : {&source, &target}) {
            boost::system::error_code ignored;
            std::ignore = side->set_option(asio::socket_base::linger(true, 0), ignored);
            std::ignore = side->close(ignored);
        }
    }

    tcp::socket source;
    tcp::socket target;
};

using relayed_ptr = std::shared_ptr<relayed>;

} // namespace

class tcp_cutter::state {
public:
    explicit state(const cli::endpoint& target)
        : target_(asio::ip::make_address(target.ip), target.port),
          acceptor_(context_, {asio::ip::address_v4::loopback(), 0})
    {
        asio::co_spawn(context_, accept(), asio::detached);
        thread_ = std::thread([this] { context_.run(); });
    }

    ~state()
    {
        context_.stop();
        thread_.join();
    }

    state(const state&) = delete;
    state& operator=(const state&) = delete;

    cli::endpoint address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

    void cut()
    {
        asio::post(context_, [this] {
            for (const auto& connection : connections_) {
                connection->reset();
            }
        });
    }

    std::atomic<relay_mode> towards_target{relay_mode::pass};
    std::atomic<relay_mode> from_target{relay_mode::pass};
    std::atomic<std::size_t> bytes_per_s_from_target{0};
    std::atomic<bool> unreachable{false};

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            auto [error, socket] = co_await acceptor_.async_accept(as_result);
            if (!error && !unreachable) {
                asio::co_spawn(context_, relay(std::make_shared<relayed>(std::move(socket))),
                               asio::detached);
            }
        }
    }

    asio::awaitable<void> relay(relayed_ptr connection)
    {
        const auto [error] = co_await connection->target.async_connect(target_, as_result);
        if (error) {
            connection->reset();
            co_return;
        }
        connections_.insert(connection);
        asio::co_spawn(
            context_,
            pump(connection, connection->source, connection->target, towards_target, unlimited_),
            asio::detached);
        co_await pump(connection, connection->target, connection->source, from_target,
                      bytes_per_s_from_target);
        connections_.erase(connection);
    }

    // Copies bytes in one direction until it ends; keeps the connection alive meanwhile.
    asio::awaitable<void> pump(relayed_ptr /*held*/, tcp::socket& from, tcp::socket& to,
                               const std::atomic<relay_mode>& mode,
                               const std::atomic<std::size_t>& bytes_per_s)
    {
        std::array<char, 16384> bytes{};
        while (true) {
            co_await wait_while_frozen(from, mode);
            const auto [read_error, size] =
                co_await from.async_read_some(asio::buffer(bytes), as_result);
            if (read_error) {
                break;
            }
            co_await wait_while_frozen(from, mode);
            co_await take_turn(size, bytes_per_s);
            if (mode == relay_mode::drop) {
                continue;
            }
            const auto [write_error, written] =
                co_await asio::async_write(to, asio::buffer(bytes, size), as_result);
            if (write_error) {
                break;
            }
        }
        boost::system::error_code ignored;
        std::ignore = to.shutdown(tcp::socket::shutdown_send, ignored);
    }

    // Waits until the link has carried these bytes, after those of all connections before them.
    asio::awaitable<void> take_turn(std::size_t bytes, const std::atomic<std::size_t>& bytes_per_s)
    {
        const auto rate = bytes_per_s.load();
        if (rate == 0) {
            co_return;
        }
        const auto now = std::chrono::steady_clock::now();
        link_free_at_ = std::max(link_free_at_, now) +
                        std::chrono::microseconds(std::chrono::seconds(1)) * bytes / rate;
        asio::steady_timer timer(context_, link_free_at_);
        co_await timer.async_wait(as_result);
    }

    static asio::awaitable<void> wait_while_frozen(tcp::socket& from,
                                                   const std::atomic<relay_mode>& mode)
    {
        asio::steady_timer timer(from.get_executor());
        while (mode == relay_mode::freeze && from.is_open()) {
            timer.expires_after(freeze_poll_interval);
            co_await timer.async_wait(as_result);
        }
    }

    const std::atomic<std::size_t> unlimited_{0};
    std::chrono::steady_clock::time_point link_free_at_;
    asio::io_context context_{1};
    tcp::endpoint target_;
    tcp::acceptor acceptor_;
    std::set<relayed_ptr> connections_;
    std::thread thread_;
};

tcp_cutter::tcp_cutter(const cli::endpoint& target) : state_(std::make_unique<state>(target)) {}

tcp_cutter::~tcp_cutter() = default;

cli::endpoint tcp_cutter::address() const
{
    return state_->address();
}

void tcp_cutter::set_towards_target(relay_mode mode)
{
    state_->towards_target = mode;
}

void tcp_cutter::set_from_target(relay_mode mode)
{
    state_->from_target = mode;
}

void tcp_cutter::set_rate_from_target(std::size_t bytes_per_s)
{
    state_->bytes_per_s_from_target = bytes_per_s;
}

void tcp_cutter::cut()
{
    state_->cut();
}

void tcp_cutter::set_unreachable(bool unreachable)
{
    state_->unreachable = unreachable;
    if (unreachable) {
        state_->cut();
    }
}

} // namespace snipespar::testing
