#pragma once

#include "base/backoff.h"
#include "platform/store_read.h"
#include "platform/watch_position.h"
#include "platform/watch_timing.h"
#include "snipespar/time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace snipespar::platform {

/// A read that a watch has to start.
struct planned_read {
    /// Names the read; higher than that of all reads before.
    std::uint64_t number = 0;
    read_kind kind = read_kind::list;
    read_cause cause = read_cause::start;
    /// Changes after this revision are asked for; unused for a list.
    std::uint64_t revision = 0;
    /// How long the store holds it without changes; zero unless it is a poll.
    duration wait{};
    /// When it counts as lost, from its start, if no byte of its response has arrived.
    duration answer_within{};

    friend bool operator==(const planned_read&, const planned_read&) = default;
};

/// Why a read has no result that can be used.
enum class read_failure {
    /// No response, a refusal or a response that cannot be read.
    unavailable,
    history_lost,
    /// The response shows that the store was restored from a copy since the last one.
    restored,
};

/// Decides which read of the store a watch does next.
///
/// At most one read counts at a time, and one whose response has begun to arrive always ends by
/// itself: news that something newer exists waits for its end, since the response may be what the
/// news is about. Only a poll without any byte is replaced then, as the store may have lost it.
class watch_plan {
public:
    /// A poll that the store has lost is repeated this long after its wait at the latest; other
    /// lost reads are repeated earlier than a poll that waits for a second.
    static constexpr duration max_repeat_delay = std::chrono::milliseconds(600);

    watch_plan(watch_timing timing, std::uint64_t seed);

    /// The read to start now, if any. It replaces the one under way.
    std::optional<planned_read> next(time_point now);

    /// When a read may be due without a further event; nothing if only an event can make one due.
    std::optional<time_point> next_at() const;

    /// Whether the result of this read still counts.
    bool is_current(std::uint64_t number) const;

    /// Bytes of the response have arrived. False if the read was replaced and may be broken off.
    bool on_bytes(std::uint64_t number);

    /// Compares the era that a response states with the known one.
    watch_position::era_change on_era(std::optional<std::uint64_t> era);

    /// The result was used: everything up to `revision`.
    void on_used(std::uint64_t number, std::uint64_t revision, time_point now);

    /// A list could not be read to its end; what it has brought was used: some objects, as of
    /// `revision`. Changes are polled for from there, and all objects listed again after a pause
    /// that grows.
    void on_used_in_part(std::uint64_t number, std::uint64_t revision, time_point now);

    void on_failed(std::uint64_t number, read_failure failure, time_point now);

    /// Something newer may exist than what the watch has reported. A poll that gets no byte within
    /// `patience` is replaced. Without patience, a read that starts from now on tells of all
    /// changes so far, without waiting for one. The pause after a failure is kept.
    void read_again(duration patience, time_point now);

    /// The store was restored in this era, which the watch may not have noticed.
    void list_again(std::uint64_t era, time_point now);

private:
    void end_used(time_point now);

    struct current_read {
        std::uint64_t number = 0;
        read_kind kind = read_kind::list;
        time_point began;
        bool has_bytes = false;
    };

    watch_timing timing_;
    backoff retry_backoff_;
    /// Pauses between lists that cannot be read to their end.
    backoff list_backoff_;
    watch_position position_;
    std::optional<current_read> current_;
    std::uint64_t last_number_ = 0;
    /// Of the next read.
    read_cause cause_ = read_cause::start;
    /// When the next read may start, if none is under way.
    time_point next_start_at_;
    /// When the poll under way is replaced unless bytes of its response arrive.
    std::optional<time_point> replaced_at_;
    /// When all objects have to be listed again, as the last list is incomplete.
    std::optional<time_point> list_due_at_;
    /// The next read must not wait for changes.
    bool is_catch_up_wanted_ = false;
    /// The next read must not be delayed.
    bool is_hurried_ = false;
    bool is_retrying_ = false;
};

} // namespace snipespar::platform
