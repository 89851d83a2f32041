#include "net/start_attempts.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <exception>
#include <utility>

namespace snipespar::net {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr auto first_pause = milliseconds(20);
// A host is missed for no longer than this once its addresses are free.
constexpr auto longest_pause = milliseconds(250);
constexpr auto report_interval = std::chrono::seconds(5);

} // namespace

start_attempts::start_attempts(boost::asio::io_context& io, handlers callbacks)
    : handlers_(std::move(callbacks)), pause_(first_pause, longest_pause, 0), timer_(io)
{
    boost::asio::post(io, [this] { attempt(); });
}

// A start that was broken off by an exception cannot be resumed.
absl::Status start_attempts::start() const
{
    try {
        return handlers_.start();
    }
    catch (const std::exception& error) {
        return absl::InternalError(error.what());
    }
}

void start_attempts::attempt()
{
    const auto status = start();
    if (status.ok()) {
        is_started_ = true;
        return;
    }
    if (!absl::IsUnavailable(status)) {
        return handlers_.failed(status);
    }
    if (const auto now = steady_clock::now(); now >= next_report_) {
        next_report_ = now + report_interval;
        handlers_.waiting(status);
    }
    timer_.expires_after(pause_.next());
    timer_.async_wait([this](const auto& error) {
        if (!error) {
            attempt();
        }
    });
}

} // namespace snipespar::net
