#include "platform/object_watch.h"

#include "base/percent_coding.h"
#include "net/http_client.h"
#include "net/steady_time.h"
#include "platform/list_pages.h"
#include "platform/object_codec.h"
#include "platform/watch_plan.h"
#include "platform/wire_names.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <exception>
#include <fmt/core.h>
#include <optional>
#include <utility>

namespace snipespar::platform {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// While a response arrives, this time without progress is taken for its end.
constexpr auto stall_timeout = std::chrono::milliseconds(1'500);
// A list is at most about one megabyte.
constexpr std::size_t max_response_bytes = 8UL * 1024 * 1024;

} // namespace

class object_watch::follower : public std::enable_shared_from_this<follower> {
public:
    follower(asio::any_io_executor executor, const cli::endpoint& store, std::string kind,
             object_watch_options options, std::uint64_t seed, object_watch_handler handler)
        : executor_(std::move(executor)), client_(store.ip, store.port, max_response_bytes),
          kind_(std::move(kind)), form_(options.form), handler_(std::move(handler)),
          timer_(executor_), plan_(options.timing, seed)
    {
    }

    void start() { advance(); }

    void read_again(duration patience)
    {
        plan_.read_again(patience, steady_now());
        advance();
    }

    void list_again(std::uint64_t era)
    {
        plan_.list_again(era, steady_now());
        advance();
    }

    const std::string& kind() const { return kind_; }

    void stop()
    {
        is_stopped_ = true;
        timer_.cancel();
    }

private:
    // Starts the read that is due and waits for the next one. Posted, as events of a read in
    // progress may be what made another one due.
    void advance()
    {
        asio::post(executor_, [self = shared_from_this()] {
            if (self->is_stopped_) {
                return;
            }
            if (const auto due = self->plan_.next(steady_now())) {
                self->start_read(*due);
            }
            self->wait();
        });
    }

    void wait()
    {
        const auto next_at = plan_.next_at();
        if (!next_at) {
            timer_.cancel();
            return;
        }
        timer_.expires_after(std::max(*next_at - steady_now(), duration{}));
        timer_.async_wait([self = shared_from_this()](const auto& error) {
            if (!error) {
                self->advance();
            }
        });
    }

    // An exception caused by an unexpected object must not end the watch of its kind.
    void start_read(const planned_read& due)
    {
        asio::co_spawn(
            executor_,
            [self = shared_from_this(), due]() -> asio::awaitable<void> {
                co_await self->perform(due);
            },
            [self = shared_from_this(), due](const std::exception_ptr& error) {
                if (error == nullptr || self->is_stopped_) {
                    return;
                }
                try {
                    std::rethrow_exception(error);
                }
                catch (const std::exception& cause) {
                    self->end_read(due, begun(due), absl::OutOfRangeError(cause.what()));
                }
            });
    }

    static store_read begun(const planned_read& due)
    {
        store_read read;
        read.kind = due.kind;
        read.cause = due.cause;
        return read;
    }

    asio::awaitable<void> perform(planned_read due)
    {
        auto read = begun(due);
        const auto status =
            due.kind == read_kind::list ? co_await list(due, read) : co_await poll(due, read);
        if (!is_stopped_) {
            end_read(due, std::move(read), status);
        }
    }

    void end_read(const planned_read& due, store_read read, const absl::Status& status)
    {
        if (!status.ok()) {
            read.error = std::string(status.message());
        }
        if (absl::IsCancelled(status) || (!status.ok() && !plan_.is_current(due.number))) {
            read.outcome = read_outcome::superseded;
        }
        else if (status.ok()) {
            read.outcome = read_outcome::used;
            report_reachability(true, {});
        }
        else {
            on_failed(due, status);
        }
        handler_.read_ended(read);
        advance();
    }

    void on_failed(const planned_read& due, const absl::Status& status)
    {
        auto failure = read_failure::unavailable;
        if (absl::IsAborted(status)) {
            failure = read_failure::restored;
        }
        else if (absl::IsOutOfRange(status)) {
            failure = read_failure::history_lost;
        }
        else {
            report_reachability(false, std::string(status.message()));
        }
        plan_.on_failed(due.number, failure, steady_now());
    }

    // Cancelled: another read has replaced this one.
    asio::awaitable<absl::StatusOr<object_page>> get(std::string target, const planned_read& due,
                                                     store_read& read)
    {
        net::http_client::request message{http::verb::get, target, 11};
        const auto sent_at = steady_now();
        auto response =
            co_await client_.call(std::move(message), {due.answer_within, stall_timeout},
                                  [this, number = due.number] { return plan_.on_bytes(number); });
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
        if (!plan_.is_current(due.number)) {
            co_return absl::CancelledError("replaced");
        }
        auto page = decode_object_page(response->body(), form_);
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
        const auto change = plan_.on_era(is_stated ? std::optional(number) : std::nullopt);
        const bool was_doubtful =
            std::exchange(is_era_doubtful_, change == watch_position::era_change::doubtful);
        switch (change) {
        case watch_position::era_change::none:
            return absl::OkStatus();
        case watch_position::era_change::doubtful:
            if (!was_doubtful) {
                handler_.era_doubtful(number);
            }
            return absl::OkStatus();
        case watch_position::era_change::restored:
            handler_.restored(number);
            return absl::AbortedError("the store was restored from a copy");
        case watch_position::era_change::outdated:
            break;
        }
        return absl::UnavailableError("the response is from before the store was restored");
    }

    asio::awaitable<absl::Status> list(planned_read due, store_read& read)
    {
        list_pages pages;
        auto state = list_pages::state::open;
        const auto asked_at = steady_now();
        while (state == list_pages::state::open) {
            const auto target = pages.after().empty() ? fmt::format("/objects/{}", kind_)
                                                      : fmt::format("/objects/{}?after={}", kind_,
                                                                    percent_encode(pages.after()));
            const auto bytes_before = read.bytes;
            auto page = co_await get(target, due, read);
            if (!page.ok()) {
                co_return page.status();
            }
            state = pages.add(*std::move(page), read.bytes - bytes_before);
        }
        const auto used_at = steady_now();
        report(pages.unreadable());
        is_listed_whole_ = state == list_pages::state::whole;
        if (is_listed_whole_) {
            handler_.listed(pages.objects(), list_extent::whole);
            handler_.read(asked_at);
            plan_.on_used(due.number, pages.revision(), steady_now());
        }
        else {
            handler_.list_cut(pages.reason());
            handler_.listed(pages.objects(), list_extent::part);
            plan_.on_used_in_part(due.number, pages.revision(), steady_now());
        }
        read.processing += steady_now() - used_at;
        co_return absl::OkStatus();
    }

    asio::awaitable<absl::Status> poll(planned_read due, store_read& read)
    {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(due.wait);
        const auto asked_at = steady_now();
        const auto response = co_await get(
            fmt::format("/objects/{}?watch={}&wait_ms={}", kind_, due.revision, wait.count()), due,
            read);
        if (!response.ok()) {
            co_return response.status();
        }
        const auto used_at = steady_now();
        report(response->unreadable);
        for (const auto& object : response->objects) {
            handler_.changed(object);
        }
        if (is_listed_whole_) {
            handler_.read(asked_at);
        }
        plan_.on_used(due.number, response->revision, steady_now());
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
    content_form form_;
    object_watch_handler handler_;
    asio::steady_timer timer_;
    watch_plan plan_;
    bool is_stopped_ = false;
    std::optional<bool> is_reachable_;
    /// The last list shows all objects.
    bool is_listed_whole_ = false;
    /// The last response stated a doubtful era.
    bool is_era_doubtful_ = false;
};

object_watch::object_watch(asio::any_io_executor executor, const cli::endpoint& store,
                           std::string kind, object_watch_options options, std::uint64_t seed,
                           object_watch_handler handler)
    : follower_(std::make_shared<follower>(std::move(executor), store, std::move(kind), options,
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

void object_watch::read_again(duration patience)
{
    follower_->read_again(patience);
}

void object_watch::list_again(std::uint64_t era)
{
    follower_->list_again(era);
}

} // namespace snipespar::platform
