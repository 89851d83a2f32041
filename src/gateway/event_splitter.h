#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipespar::gateway {

/// Cuts the bytes of an event stream into whole events, unchanged. An upstream may stop anywhere,
/// so that only whole events may be passed on.
class event_splitter {
public:
    /// One event with its closing empty line.
    struct event {
        /// Number in its `id` line, if there is one.
        std::optional<std::uint64_t> number;
        std::string bytes;

        friend bool operator==(const event&, const event&) = default;
    };

    /// Takes the next bytes and returns the events that they complete, in order.
    std::vector<event> feed(std::string_view bytes);

    /// Whether part of an event is kept.
    bool has_partial() const { return !pending_.empty(); }

private:
    std::string pending_;
    /// Bytes of `pending_` in which no end of an event was found.
    std::size_t searched_ = 0;
};

} // namespace snipespar::gateway
