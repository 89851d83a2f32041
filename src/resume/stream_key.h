#pragma once

#include "snipespar/ids.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace snipespar::resume {

/// Identifies a stream in all processes: a digest of the team and of the caller's name for the
/// attempt that brought the first event. A team cannot name the streams of another one.
struct stream_key {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const stream_key&, const stream_key&) = default;
    friend bool operator==(const stream_key&, const stream_key&) = default;
};

/// Returns the key of the stream whose first event the request `request_id` of the team brought.
stream_key make_stream_key(const team_id& team, std::string_view request_id);

/// Hash for unordered containers.
struct stream_key_hash {
    std::size_t operator()(const stream_key& key) const { return key.low; }
};

} // namespace snipespar::resume
