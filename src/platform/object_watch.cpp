#include "platform/object_watch.h"

#include "base/backoff.h"
#include "net/http_client.h"
#include "net/steady_time.h"
#include "platform/object_codec.h"
#include "platform/watch_position.h"
#include "platform/wire_names.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <fmt/core.h>
#include <iterator>
#include <optional>
#include <string_view>
#include <utility>

namespace snipespar::platform {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// The store usually responds within 4 ms, and within 250 ms when it is slow.
constexpr auto response_timeout = std::chrono::milliseconds(1'500);
// Retry delays while the store is unreachable; the maximum keeps recovery within a second.
constexpr auto initial_retry_delay = std::chrono::milliseconds(100);
constexpr auto max_retry_delay = std::chrono::milliseconds(800);
// A list is at most about one megabyte.
constexpr std::size_t max_response_bytes = 8UL * 1024 * 1024;

constexpr std::string_view unreserved_characters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";

// Percent-encodes a value of a query.
std::string escaped(std::string_view text)
{
    std::string result;
    for (const char character : text) {
        if (unreserved_characters.find(character) != std::string_view::npos) {
            result += character;
        }
        else {
            result += fmt::format("%{:02X}", static_cast<unsigned char>(character));
        }
    }
    return result;
}

} // namespace

class object_watch::follower : public std::enable_shared_from_this<follower> {
public:
    follower(asio::any_io_executor executor, const cli::endpoint& store, std::string kind,
             object_watch_timing timing, std::uint64_t seed, object_watch_handler handler)
        : executor_(std::move(executor)), client_(store.ip, store.port, max_response_bytes),
          kind_(std::move(kind)), poll_delay_(timing.poll_delay), poll_wait_(timing.poll_wait),
          handler_(std::move(handler)), retry_backoff_(initial_retry_delay, max_retry_delay, seed),
          timer_(executor_)
    {
    }

    void start()
    {
        asio::co_spawn(
            executor_,
            [self = shared_from_this(), generation = generation_]() -> asio::awaitable<void> {
                co_await self->run(generation);
            },
            [self = shared_from_this(), generation = generation_](const std::exception_ptr& error) {
                self->on_end(generation, error);
            });
    }

    void refresh()
    {
        position_.invalidate();
        is_catching_up_ = false;
        cause_ = read_cause::wish;
        // A second coroutine lists immediately; the first ends when its poll returns.
        ++generation_;
        start();
    }

    // A list, and the repetition of a failed request, go on as they are: taking their place again
    // and again would keep them from ending while the store is slow.
    void catch_up()
    {
        if (position_.is_listed() && is_reachable_.value_or(false) && !is_catching_up_) {
            is_catching_up_ = true;
            cause_ = read_cause::wish;
            ++generation_;
            start();
        }
    }

    const std::string& kind() const { return kind_; }

    void stop()
    {
        ++generation_;
        timer_.cancel();
    }

private:
    // An exception caused by an unexpected object must not end the watch of its kind.
    void on_end(std::uint64_t generation, const std::exception_ptr& error)
    {
        if (error == nullptr || generation != generation_) {
            return;
        }
        try {
            std::rethrow_exception(error);
        }
        catch (const std::exception& cause) {
            report_reachability(false, cause.what());
        }
        position_.invalidate();
        is_catching_up_ = false;
        timer_.expires_after(max_retry_delay);
        timer_.async_wait([self = shared_from_this(), generation](const auto& wait_error) {
            if (!wait_error && generation == self->generation_) {
                self->start();
            }
        });
    }

    asio::awaitable<void> run(std::uint64_t generation)
    {
        while (generation == generation_) {
            store_read read;
            read.cause = std::exchange(cause_, read_cause::next);
            const auto status = position_.is_listed() ? co_await poll(generation, read)
                                                      : co_await list(generation, read);
            end_read(std::move(read), status, generation == generation_);
            if (generation != generation_) {
                co_return;
            }
            cause_ = next_cause(status);
            if (status.ok()) {
                report_reachability(true, {});
                retry_backoff_.reset();
                if (poll_delay_ > duration{}) {
                    timer_.expires_after(poll_delay_);
                    co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
                }
                continue;
            }
            if (absl::IsAborted(status)) {
                // A restored store is listed at once.
                continue;
            }
            if (absl::IsOutOfRange(status)) {
                position_.invalidate();
            }
            else {
                report_reachability(false, std::string(status.message()));
            }
            timer_.expires_after(retry_backoff_.next());
            co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    static read_cause next_cause(const absl::Status& status)
    {
        if (absl::IsAborted(status)) {
            return read_cause::restored;
        }
        if (absl::IsOutOfRange(status)) {
            return read_cause::history_lost;
        }
        return status.ok() ? read_cause::next : read_cause::retry;
    }

    void end_read(store_read read, const absl::Status& status, bool is_current)
    {
        if (!status.ok()) {
            read.error = std::string(status.message());
        }
        read.outcome = !is_current   ? read_outcome::superseded
                       : status.ok() ? read_outcome::used
                                     : read_outcome::failed;
        handler_.read_ended(read);
    }

    asio::awaitable<absl::StatusOr<object_page>> get(std::string target, duration timeout,
                                                     store_read& read)
    {
        net::http_client::request message{http::verb::get, target, 11};
        const auto sent_at = steady_now();
        auto response = co_await client_.call(std::move(message), timeout);
        const auto received_at = steady_now();
        read.transfer += received_at - sent_at;
        if (!response.ok()) {
            co_return response.status();
        }
        read.bytes += response->body().size();
        if (auto status = check_era(*response); !status.ok()) {
            co_return status;
        }
        if (response->result() == http::status::gone) {
            co_return absl::OutOfRangeError("the store no longer has the history");
        }
        if (response->result() != http::status::ok) {
            co_return absl::UnavailableError(fmt::format("status {}", response->result_int()));
        }
        auto page = decode_object_page(response->body());
        read.processing += steady_now() - received_at;
        co_return page;
    }

    // Aborted: the store was restored since the last response. Unavailable: the response is from
    // before that.
    absl::Status check_era(const net::http_client::response& response)
    {
        const auto text =
            response[boost::beast::string_view(wire::store_era.data(), wire::store_era.size())];
        std::uint64_t number = 0;
        const bool is_stated =
            absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &number);
        switch (position_.on_era(is_stated ? std::optional(number) : std::nullopt)) {
        case watch_position::era_change::none:
            return absl::OkStatus();
        case watch_position::era_change::restored:
            handler_.restored(number);
            return absl::AbortedError("the store was restored from a copy");
        case watch_position::era_change::outdated:
            break;
        }
        return absl::UnavailableError("the response is from before the store was restored");
    }

    asio::awaitable<absl::Status> list(std::uint64_t generation, store_read& read)
    {
        read.kind = read_kind::list;
        std::vector<watched_object> objects;
        std::vector<unreadable_object> unreadable;
        std::optional<std::uint64_t> revision;
        std::string after;
        bool has_more = true;
        const auto asked_at = steady_now();
        while (has_more) {
            const auto target = after.empty()
                                    ? fmt::format("/objects/{}", kind_)
                                    : fmt::format("/objects/{}?after={}", kind_, escaped(after));
            auto page = co_await get(target, response_timeout, read);
            if (!page.ok()) {
                co_return page.status();
            }
            // A watch from the first page's revision reports changes made between two pages.
            revision = revision.value_or(page->revision);
            has_more = page->has_more;
            const auto last = page->objects.empty() ? after : page->objects.back().name;
            std::ranges::move(page->objects, std::back_inserter(objects));
            std::ranges::move(page->unreadable, std::back_inserter(unreadable));
            if (has_more && last == after) {
                co_return absl::DataLossError("a page without a readable name");
            }
            after = last;
        }
        if (generation == generation_) {
            const auto used_at = steady_now();
            position_.on_listed(*revision);
            report(unreadable);
            handler_.listed(objects);
            handler_.read(asked_at);
            read.processing += steady_now() - used_at;
        }
        co_return absl::OkStatus();
    }

    asio::awaitable<absl::Status> poll(std::uint64_t generation, store_read& read)
    {
        read.kind = is_catching_up_ ? read_kind::catch_up : read_kind::poll;
        const auto poll_wait = is_catching_up_ ? duration{} : poll_wait_;
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(poll_wait);
        const auto asked_at = steady_now();
        const auto response = co_await get(fmt::format("/objects/{}?watch={}&wait_ms={}", kind_,
                                                       position_.revision(), wait.count()),
                                           poll_wait + response_timeout, read);
        if (generation == generation_) {
            is_catching_up_ = false;
        }
        if (!response.ok()) {
            co_return response.status();
        }
        if (generation != generation_) {
            co_return absl::OkStatus();
        }
        const auto used_at = steady_now();
        report(response->unreadable);
        for (const auto& object : response->objects) {
            handler_.changed(object);
        }
        position_.on_polled(response->revision);
        handler_.read(asked_at);
        read.processing += steady_now() - used_at;
        co_return absl::OkStatus();
    }

    void report(const std::vector<unreadable_object>& unreadable) const
    {
        for (const auto& object : unreadable) {
            handler_.unreadable(object.name, object.reason);
        }
    }

    void report_reachability(bool is_reachable, const std::string& reason)
    {
        if (is_reachable_ != is_reachable) {
            is_reachable_ = is_reachable;
            handler_.reachability_changed(is_reachable, reason);
        }
    }

    asio::any_io_executor executor_;
    net::http_client client_;
    std::string kind_;
    duration poll_delay_;
    duration poll_wait_;
    object_watch_handler handler_;
    backoff retry_backoff_;
    asio::steady_timer timer_;
    watch_position position_;
    /// Of the next read.
    read_cause cause_ = read_cause::start;
    // Incremented to end the coroutines that were started with an earlier value.
    std::uint64_t generation_ = 0;
    std::optional<bool> is_reachable_;
    /// Set from the call of `catch_up` until its response or failure.
    bool is_catching_up_ = false;
};

object_watch::object_watch(asio::any_io_executor executor, const cli::endpoint& store,
                           std::string kind, object_watch_timing timing, std::uint64_t seed,
                           object_watch_handler handler)
    : follower_(std::make_shared<follower>(std::move(executor), store, std::move(kind), timing,
                                           seed, std::move(handler)))
{
}

object_watch::~object_watch()
{
    follower_->stop();
}

void object_watch::start()
{
    follower_->start();
}

const std::string& object_watch::kind() const
{
    return follower_->kind();
}

void object_watch::refresh()
{
    follower_->refresh();
}

void object_watch::catch_up()
{
    follower_->catch_up();
}

} // namespace snipespar::platform
