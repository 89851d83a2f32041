#pragma once

#include "resume/stream_key.h"
#include "resume/stream_origin.h"
#include "snipespar/time.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace snipespar::resume {

/// The origins of recent streams that one process holds for all gateways. An origin never changes;
/// it is forgotten after a while unless it is recorded again.
class origin_store {
public:
    /// How long an origin is held: longer than callers wait for a stream.
    static constexpr duration lifetime = std::chrono::seconds(60);
    /// The oldest records give way to new ones beyond this number.
    static constexpr std::size_t capacity = 65'536;

    /// Records an origin. If the same stream was recorded with another origin, two attempts of the
    /// caller had one name, and neither origin is reported.
    void put(const stream_key& key, const stream_origin& origin, time_point now);

    std::optional<stream_origin> find(const stream_key& key, time_point now) const;

    /// Drops expired records.
    void on_tick(time_point now);

    std::size_t size() const { return records_.size(); }

private:
    struct record {
        stream_origin origin;
        time_point expires;
        bool is_ambiguous = false;
    };

    void drop_oldest();

    std::unordered_map<stream_key, record, stream_key_hash> records_;
    /// Expiry of each record, several times for those that were renewed.
    std::deque<std::pair<time_point, stream_key>> expiries_;
};

} // namespace snipespar::resume
