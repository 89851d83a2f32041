#pragma once

#include "snipespar/time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace snipespar::gateway {

/// Streams that broke off and wait until they can go on at another upstream. Those that have
/// delivered most go first: their callers lose most. One that could not be placed lets the others
/// pass for a while.
class resume_queue {
public:
    /// A stream that has delivered so many events waits and may go on from `due` on; `number`
    /// identifies it.
    void add(std::uint64_t number, std::uint64_t delivered, time_point due);

    /// The stream has gone on or ended. Does nothing if it does not wait.
    void remove(std::uint64_t number, std::uint64_t delivered);

    /// Whether the waiting stream is due and among the first `places` of those that are.
    bool is_among_first(std::uint64_t number, std::uint64_t delivered, std::size_t places,
                        time_point now) const;

    std::size_t size() const { return waiting_.size(); }

private:
    struct waiting_stream {
        std::uint64_t delivered = 0;
        std::uint64_t number = 0;

        friend bool operator==(const waiting_stream&, const waiting_stream&) = default;
        friend bool operator<(const waiting_stream& left, const waiting_stream& right)
        {
            return left.delivered != right.delivered ? left.delivered > right.delivered
                                                     : left.number < right.number;
        }
    };

    std::map<waiting_stream, time_point> waiting_;
};

} // namespace snipespar::gateway
