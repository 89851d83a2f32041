#pragma once

#include "base/backoff.h"
#include "store/object_store.h"

#include <cstdint>
#include <utility>

namespace snipespar::store {

/// Limits and delays of retries.
struct retry_settings {
    /// Sum of the delays between attempts above which a call fails.
    duration max_total_delay = std::chrono::milliseconds(500);
    duration initial_delay = std::chrono::milliseconds(20);
    duration max_delay = std::chrono::seconds(1);
    std::uint64_t seed = 0;
};

/// Retries calls that had no effect, with backoff, and determines the outcome of a conditional
/// write whose response was lost. Values written through it must be unique to their writer (contain
/// a nonce), so that the value read back shows whose write took effect. `Sleep` is called with a
/// duration and returns an awaitable.
template <object_store Store, class Sleep>
class retrying_store {
public:
    retrying_store(Store& store, Sleep sleep, retry_settings settings)
        : store_(store), sleep_(std::move(sleep)), settings_(settings), seed_(settings.seed)
    {
    }

    /// As the underlying store; returns Unknown only when the effect of the call could not be
    /// determined.
    boost::asio::awaitable<object_reply> perform(request call)
    {
        backoff delays(settings_.initial_delay, settings_.max_delay, seed_++);
        duration total_delay{};
        bool may_have_taken_effect = false;
        while (true) {
            auto reply = co_await store_.perform(call);
            const bool is_unknown = absl::IsUnknown(reply.status);
            may_have_taken_effect = may_have_taken_effect || is_unknown;
            if (is_unknown || (may_have_taken_effect && may_follow_success(reply.status))) {
                reply = co_await resolve_outcome(call, std::move(reply));
            }
            if (!is_retryable(reply.status)) {
                co_return reply;
            }
            const auto delay = delays.next();
            total_delay += delay;
            if (total_delay > settings_.max_total_delay) {
                reply.status = may_have_taken_effect ? absl::UnknownError(reply.status.message())
                                                     : reply.status;
                co_return reply;
            }
            co_await sleep_(delay);
        }
    }

private:
    static bool is_retryable(const absl::Status& status)
    {
        return absl::IsUnavailable(status) || absl::IsResourceExhausted(status) ||
               absl::IsUnknown(status);
    }

    // Whether an earlier attempt of the same call that took effect would cause this status.
    static bool may_follow_success(const absl::Status& status)
    {
        return absl::IsAborted(status) || absl::IsNotFound(status);
    }

    // Determines the outcome of a change whose response was lost: reads the object and replaces
    // `failed` if the change took effect.
    boost::asio::awaitable<object_reply> resolve_outcome(request call, object_reply failed)
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
            failed.status = absl::UnknownError("the outcome of the write is unknown");
        }
        co_return failed;
    }

    Store& store_;
    Sleep sleep_;
    retry_settings settings_;
    std::uint64_t seed_;
};

} // namespace snipespar::store
