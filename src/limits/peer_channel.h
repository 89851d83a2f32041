#pragma once

#include "limits/messages.h"
#include "snipespar/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace snipespar::limits {

/// One end of the reliable, ordered, exactly-once stream between two incarnations. The sending side
/// keeps each batch until it is acknowledged; the receiving side buffers the few that arrive out of
/// order and drops duplicates, so memory is bounded by the window.
class peer_channel {
public:
    /// Unacknowledged batches from which on the peer counts as unresponsive.
    static constexpr std::size_t max_unacknowledged = 16;
    /// Batches buffered by the receiving side until the ones before them arrive.
    static constexpr std::size_t max_out_of_order = 32;

    /// Adds items to the stream and returns the batch to send.
    batch_message push(time_point now, std::vector<channel_item> items);

    /// Accepts a received batch and returns the batches that can now be applied, in order.
    /// Acknowledge in any case.
    std::vector<batch_message> accept(const batch_message& batch);

    /// Acknowledgement of everything applied so far.
    ack_message acknowledgement() const { return ack_message{received_}; }

    /// Sequence number of the last batch pushed.
    std::uint64_t last_pushed() const { return sent_; }

    /// Drops the batches that the peer has applied.
    void acknowledged(time_point now, const ack_message& ack);

    /// The batches to resend at `now`, in order.
    std::vector<batch_message> due(time_point now);

    /// Whether so many batches are unacknowledged that new transfers should wait.
    bool congested() const { return unacknowledged_.size() >= max_unacknowledged; }

    const std::deque<batch_message>& unacknowledged() const { return unacknowledged_; }

    friend bool operator==(const peer_channel&, const peer_channel&) = default;

private:
    std::uint64_t sent_ = 0;
    std::uint64_t received_ = 0;
    std::deque<batch_message> unacknowledged_;
    std::map<std::uint64_t, batch_message> out_of_order_;
    time_point resend_at_;
    duration resend_delay_{};
};

} // namespace snipespar::limits
