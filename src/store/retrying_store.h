#pragma once

#include "base/backoff.h"
#include "store/object_store.h"

#include <cstdint>
#include <utility>

namespace snipespar::store {

/// Bounds and pace of retries.
struct retry_settings {
    /// Sum of the waits between tries after which a call is given up.
    duration total_wait = std::chrono::milliseconds(500);
    duration first_wait = std::chrono::milliseconds(20);
    duration longest_wait = std::chrono::seconds(1);
    std::uint64_t seed = 0;
};

/// Repeats calls that had no effect, with backoff, and finds out what became of a conditional write
/// whose answer was lost. Values written through it must be unique to their writer (hold a nonce),
/// so that the value read back tells whose write stands. `Sleep` is called with a duration and
/// returns an awaitable.
template <object_store Store, class Sleep>
class retrying_store {
public:
    retrying_store(Store& store, Sleep sleep, retry_settings settings)
        : store_(store), sleep_(std::move(sleep)), settings_(settings), seed_(settings.seed)
    {
    }

    /// As the store below; Unknown is returned only when the last try's effect could not be told.
    boost::asio::awaitable<object_reply> perform(request call)
    {
        backoff pace(settings_.first_wait, settings_.longest_wait, seed_++);
        duration waited{};
        bool may_be_done = false;
        while (true) {
            auto reply = co_await store_.perform(call);
            const bool is_lost = absl::IsUnknown(reply.status);
            may_be_done = may_be_done || is_lost;
            if (is_lost || (may_be_done && is_contradicted(reply.status))) {
                reply = co_await settle(call, std::move(reply));
            }
            if (!is_retryable(reply.status)) {
                co_return reply;
            }
            const auto wait = pace.next();
            waited += wait;
            if (waited > settings_.total_wait) {
                reply.status =
                    may_be_done ? absl::UnknownError(reply.status.message()) : reply.status;
                co_return reply;
            }
            co_await sleep_(wait);
        }
    }

private:
    static bool is_retryable(const absl::Status& status)
    {
        return absl::IsUnavailable(status) || absl::IsResourceExhausted(status) ||
               absl::IsUnknown(status);
    }

    // Whether the status is what an own earlier success would cause.
    static bool is_contradicted(const absl::Status& status)
    {
        return absl::IsAborted(status) || absl::IsNotFound(status);
    }

    // What became of a change whose answer was lost: reads the object and replaces `failed` if the
    // own change stands.
    boost::asio::awaitable<object_reply> settle(request call, object_reply failed)
    {
        if (std::holds_alternative<erase_object>(call)) {
            failed.status = absl::IsNotFound(failed.status) ? absl::OkStatus() : failed.status;
            co_return failed;
        }
        const auto* put = std::get_if<put_object>(&call);
        if (put == nullptr) {
            co_return failed;
        }
        auto current = co_await store_.perform(get_object{put->key});
        if (current.status.ok() && current.objects.front().value == put->value) {
            current.objects.front().value.clear();
            co_return current;
        }
        if (!current.status.ok() && !absl::IsNotFound(current.status)) {
            failed.status = absl::UnknownError("not settled");
        }
        co_return failed;
    }

    Store& store_;
    Sleep sleep_;
    retry_settings settings_;
    std::uint64_t seed_;
};

} // namespace snipespar::store
