#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipespar::gateway {

/// Splits an event stream into complete events, with unchanged bytes. An upstream may stop
/// anywhere, so only complete events may be forwarded.
class event_splitter {
public:
    /// One event including its terminating empty line.
    struct event {
        /// Number from its `id` line, if any.
        std::optional<std::uint64_t> number;
        std::string bytes;

        friend bool operator==(const event&, const event&) = default;
    };

    /// Appends bytes and returns the events that they complete, in order.
    std::vector<event> feed(std::string_view bytes);

    /// Whether the buffered event is larger than any that upstreams send: it may never end.
    bool is_too_large() const { return pending_.size() > max_event_bytes; }

    /// Whether an incomplete event is buffered.
    bool has_partial() const { return !pending_.empty(); }

private:
    /// Events of generations have some hundred bytes.
    static constexpr std::size_t max_event_bytes = 1024UL * 1024;

    std::string pending_;
    /// Bytes of `pending_` already searched for the end of an event.
    std::size_t searched_ = 0;
};

} // namespace snipespar::gateway
