#include "platform/object_watch.h"

#include "base/backoff.h"
#include "base/json_reader.h"
#include "net/http_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <fmt/core.h>
#include <optional>
#include <utility>

namespace snipespar::platform {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// The store usually answers within 4 ms, and on a bad day within a quarter of a second.
constexpr auto answer_timeout = std::chrono::milliseconds(1'500);
// Pace of tries while the store is away; the longest keeps recovery within a second.
constexpr auto first_retry = std::chrono::milliseconds(100);
constexpr auto longest_retry = std::chrono::milliseconds(800);
// A list holds about one megabyte at most.
constexpr std::size_t max_answer_bytes = 8UL * 1024 * 1024;

watched_object read_object(const nlohmann::json& item, bool is_removed)
{
    watched_object object;
    object.is_removed = is_removed;
    if (!item.is_object()) {
        return object;
    }
    if (const auto metadata = item.find("metadata");
        metadata != item.end() && metadata->is_object()) {
        object.name = metadata->value("name", std::string());
    }
    if (const auto spec = item.find("spec"); spec != item.end() && !is_removed) {
        object.content = *spec;
    }
    return object;
}

} // namespace

class object_watch::follower : public std::enable_shared_from_this<follower> {
public:
    follower(asio::any_io_executor executor, const cli::endpoint& store, std::string kind,
             object_watch_timing pace, std::uint64_t seed, object_watch_handler handler)
        : executor_(std::move(executor)), client_(store.ip, store.port, max_answer_bytes),
          kind_(std::move(kind)), poll_pause_(pace.poll_pause), poll_wait_(pace.poll_wait),
          handler_(std::move(handler)), pace_(first_retry, longest_retry, seed), pause_(executor_)
    {
    }

    void start()
    {
        asio::co_spawn(
            executor_,
            [self = shared_from_this(), own = generation_]() -> asio::awaitable<void> {
                co_await self->run(own);
            },
            [self = shared_from_this(), own = generation_](const std::exception_ptr& error) {
                self->on_end(own, error);
            });
    }

    void refresh()
    {
        must_list_ = true;
        // A second follower lists at once; the waiting one ends when its poll returns.
        ++generation_;
        start();
    }

    void stop()
    {
        ++generation_;
        pause_.cancel();
    }

private:
    // An object that no code foresaw must not end the following of its kind.
    void on_end(std::uint64_t own, const std::exception_ptr& error)
    {
        if (error == nullptr || own != generation_) {
            return;
        }
        try {
            std::rethrow_exception(error);
        }
        catch (const std::exception& cause) {
            report_contact(false, cause.what());
        }
        must_list_ = true;
        pause_.expires_after(longest_retry);
        pause_.async_wait([self = shared_from_this(), own](const auto& wait_error) {
            if (!wait_error && own == self->generation_) {
                self->start();
            }
        });
    }

    asio::awaitable<void> run(std::uint64_t own)
    {
        while (own == generation_) {
            const auto status = must_list_ ? co_await list(own) : co_await poll(own);
            if (own != generation_) {
                co_return;
            }
            if (status.ok()) {
                report_contact(true, {});
                pace_.reset();
                if (poll_pause_ > duration{}) {
                    pause_.expires_after(poll_pause_);
                    co_await pause_.async_wait(asio::as_tuple(asio::use_awaitable));
                }
                continue;
            }
            must_list_ = must_list_ || absl::IsOutOfRange(status);
            if (!absl::IsOutOfRange(status)) {
                report_contact(false, std::string(status.message()));
            }
            pause_.expires_after(pace_.next());
            co_await pause_.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    asio::awaitable<absl::StatusOr<nlohmann::json>> get(std::string target, duration timeout)
    {
        net::http_client::request message{http::verb::get, target, 11};
        auto answer = co_await client_.call(std::move(message), timeout);
        if (!answer.ok()) {
            co_return answer.status();
        }
        if (answer->result() == http::status::gone) {
            co_return absl::OutOfRangeError("the history is gone");
        }
        if (answer->result() != http::status::ok) {
            co_return absl::UnavailableError(fmt::format("status {}", answer->result_int()));
        }
        auto value = nlohmann::json::parse(answer->body(), nullptr, false);
        if (!value.is_object()) {
            co_return absl::DataLossError("the answer is not a JSON object");
        }
        co_return value;
    }

    asio::awaitable<absl::Status> list(std::uint64_t own)
    {
        std::vector<watched_object> objects;
        std::optional<std::uint64_t> revision;
        std::string after;
        bool has_more = true;
        while (has_more) {
            const auto target = after.empty() ? fmt::format("/objects/{}", kind_)
                                              : fmt::format("/objects/{}?after={}", kind_, after);
            auto page = co_await get(target, answer_timeout);
            if (!page.ok()) {
                co_return page.status();
            }
            absl::Status status;
            const json_reader fields(*page, kind_, status);
            // Changes between two pages are seen again by a watch from the first page's revision.
            revision = revision.value_or(fields.integer<std::uint64_t>("current_rev"));
            has_more = fields.has("has_more") && fields.flag("has_more");
            if (const auto items = page->find("items"); items != page->end()) {
                for (const auto& item : *items) {
                    objects.push_back(read_object(item, false));
                }
            }
            if (!status.ok()) {
                co_return status;
            }
            has_more = has_more && !objects.empty() && objects.back().name != after;
            after = objects.empty() ? std::string() : objects.back().name;
        }
        if (own == generation_) {
            revision_ = *revision;
            must_list_ = false;
            handler_.listed(objects);
        }
        co_return absl::OkStatus();
    }

    asio::awaitable<absl::Status> poll(std::uint64_t own)
    {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(poll_wait_);
        auto answer = co_await get(
            fmt::format("/objects/{}?watch={}&wait_ms={}", kind_, revision_, wait.count()),
            poll_wait_ + answer_timeout);
        if (!answer.ok()) {
            co_return answer.status();
        }
        if (own != generation_) {
            co_return absl::OkStatus();
        }
        absl::Status status;
        const json_reader fields(*answer, kind_, status);
        const auto revision = fields.integer<std::uint64_t>("current_rev");
        if (!status.ok()) {
            co_return status;
        }
        if (const auto events = answer->find("events"); events != answer->end()) {
            for (const auto& event : *events) {
                const bool is_removed = event.is_object() && event.value("removed", false);
                const auto object = event.is_object() ? event.find("object") : event.end();
                if (object != event.end()) {
                    handler_.changed(read_object(*object, is_removed));
                }
            }
        }
        revision_ = revision;
        co_return absl::OkStatus();
    }

    void report_contact(bool is_reached, const std::string& reason)
    {
        if (is_reached_ != is_reached) {
            is_reached_ = is_reached;
            handler_.contact(is_reached, reason);
        }
    }

    asio::any_io_executor executor_;
    net::http_client client_;
    std::string kind_;
    duration poll_pause_;
    duration poll_wait_;
    object_watch_handler handler_;
    backoff pace_;
    asio::steady_timer pause_;
    std::uint64_t revision_ = 0;
    bool must_list_ = true;
    // Raised to end the coroutines that run under an earlier value.
    std::uint64_t generation_ = 0;
    std::optional<bool> is_reached_;
};

object_watch::object_watch(asio::any_io_executor executor, const cli::endpoint& store,
                           std::string kind, object_watch_timing pace, std::uint64_t seed,
                           object_watch_handler handler)
    : follower_(std::make_shared<follower>(std::move(executor), store, std::move(kind), pace, seed,
                                           std::move(handler)))
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

void object_watch::refresh()
{
    follower_->refresh();
}

} // namespace snipespar::platform
