#include "gateway/connect_probe.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <tuple>
#include <utility>

namespace snipespar::gateway {

namespace asio = boost::asio;

namespace {

// A process that ends closes its listener within this time of its connections.
constexpr auto observation_time = std::chrono::milliseconds(250);
// A living process may close new connections because it has too many.
constexpr int max_attempts = 3;

class probe : public std::enable_shared_from_this<probe> {
public:
    probe(const asio::any_io_executor& executor, asio::ip::tcp::endpoint address, duration timeout,
          std::function<void()> refused)
        : socket_(executor), timer_(executor), address_(std::move(address)), timeout_(timeout),
          refused_(std::move(refused))
    {
    }

    void connect()
    {
        ++attempts_;
        close_after(timeout_);
        socket_.async_connect(address_, [self = shared_from_this()](const auto& error) {
            self->timer_.cancel();
            if (error == asio::error::connection_refused) {
                return self->refused_();
            }
            if (!error) {
                return self->observe();
            }
            self->connect_again(error);
        });
    }

private:
    void observe()
    {
        close_after(observation_time);
        socket_.async_read_some(asio::buffer(byte_),
                                [self = shared_from_this()](const auto& error, std::size_t) {
                                    self->timer_.cancel();
                                    if (error) {
                                        self->connect_again(error);
                                    }
                                });
    }

    void connect_again(const boost::system::error_code& cause)
    {
        boost::system::error_code ignored;
        std::ignore = socket_.close(ignored);
        if (cause != asio::error::operation_aborted && attempts_ < max_attempts) {
            connect();
        }
    }

    void close_after(duration time)
    {
        timer_.expires_after(time);
        timer_.async_wait([self = shared_from_this()](const auto& error) {
            if (!error) {
                boost::system::error_code ignored;
                std::ignore = self->socket_.close(ignored);
            }
        });
    }

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    asio::ip::tcp::endpoint address_;
    duration timeout_;
    std::function<void()> refused_;
    std::array<char, 1> byte_{};
    int attempts_ = 0;
};

} // namespace

void probe_connect(const asio::any_io_executor& executor, const cli::endpoint& address,
                   duration timeout, std::function<void()> refused)
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address.ip, error);
    if (!error) {
        std::make_shared<probe>(executor, asio::ip::tcp::endpoint(ip, address.port), timeout,
                                std::move(refused))
            ->connect();
    }
}

} // namespace snipespar::gateway
