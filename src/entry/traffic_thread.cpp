#include "entry/traffic_thread.h"

#include "telemetry/spawn_task.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace snipespar::entry {

namespace {

namespace asio = boost::asio;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

// Delay after a failed accept, such as one without a free file descriptor.
constexpr auto accept_retry_delay = std::chrono::milliseconds(20);

} // namespace

traffic_thread::traffic_thread(const connection_services& services)
    : work_(asio::make_work_guard(context_)), acceptor_(context_), services_(services)
{
}

traffic_thread::~traffic_thread()
{
    stop();
}

absl::Status traffic_thread::listen(const std::string& ip, std::uint16_t port,
                                    std::vector<traffic_thread*> threads)
{
    boost::system::error_code error;
    const asio::ip::tcp::endpoint address(asio::ip::make_address(ip, error), port);
    if (!error) {
        acceptor_.open(address.protocol(), error);
    }
    if (!error) {
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor_.bind(address, error);
    }
    if (!error) {
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return absl::UnavailableError("cannot listen on " + ip + ":" + std::to_string(port) + ": " +
                                      error.message());
    }
    telemetry::spawn_task(context_, telemetry::logger(), "accept", accept(std::move(threads)));
    return absl::OkStatus();
}

void traffic_thread::start()
{
    thread_ = std::thread([this] { context_.run(); });
}

void traffic_thread::drain()
{
    asio::post(context_, [this] {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        for (const auto& connection : connections_) {
            connection->drain();
        }
    });
}

void traffic_thread::check_keys(const std::shared_ptr<const config::access>& access)
{
    asio::post(context_, [this, access] {
        for (const auto& connection : connections_) {
            connection->check_key(*access);
        }
    });
}

void traffic_thread::stop()
{
    context_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

asio::awaitable<void> traffic_thread::accept(std::vector<traffic_thread*> threads)
{
    std::size_t next = 0;
    while (acceptor_.is_open()) {
        traffic_thread& target = *threads.at(next);
        auto [error, socket] = co_await acceptor_.async_accept(target.context_, as_result);
        if (!error) {
            next = (next + 1) % threads.size();
            target.serve(std::move(socket));
        }
        else if (acceptor_.is_open()) {
            asio::steady_timer retry_timer(context_, accept_retry_delay);
            co_await retry_timer.async_wait(as_result);
        }
    }
}

void traffic_thread::serve(asio::ip::tcp::socket socket)
{
    asio::post(context_, [this, socket = std::move(socket)]() mutable {
        auto connection = std::make_shared<caller_connection>(std::move(socket), services_);
        connections_.insert(connection);
        telemetry::spawn_task(context_, telemetry::logger(), "connection",
                              [this, connection]() -> asio::awaitable<void> {
                                  co_await connection->serve();
                                  connections_.erase(connection);
                              });
    });
}

} // namespace snipespar::entry
