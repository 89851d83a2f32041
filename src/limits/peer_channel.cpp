#include "limits/peer_channel.h"

#include <algorithm>
#include <utility>

namespace snipespar::limits {

namespace {

constexpr duration first_resend_delay = std::chrono::milliseconds(50);
constexpr duration longest_resend_delay = std::chrono::seconds(1);

} // namespace

batch_message peer_channel::push(time_point now, std::vector<channel_item> items)
{
    if (unacknowledged_.empty()) {
        resend_delay_ = first_resend_delay;
        resend_at_ = now + resend_delay_;
    }
    unacknowledged_.push_back(batch_message{++sent_, std::move(items)});
    return unacknowledged_.back();
}

std::vector<batch_message> peer_channel::accept(const batch_message& batch)
{
    const std::uint64_t sequence = batch.sequence;
    if (sequence <= received_ || sequence > received_ + max_out_of_order) {
        return {};
    }
    out_of_order_.try_emplace(sequence, batch);
    std::vector<batch_message> ready;
    while (!out_of_order_.empty() && out_of_order_.begin()->first == received_ + 1) {
        ++received_;
        ready.push_back(std::move(out_of_order_.extract(out_of_order_.begin()).mapped()));
    }
    return ready;
}

void peer_channel::acknowledged(time_point now, const ack_message& ack)
{
    while (!unacknowledged_.empty() && unacknowledged_.front().sequence <= ack.sequence) {
        unacknowledged_.pop_front();
        resend_delay_ = first_resend_delay;
        resend_at_ = now + resend_delay_;
    }
}

std::vector<batch_message> peer_channel::due(time_point now)
{
    if (unacknowledged_.empty() || now < resend_at_) {
        return {};
    }
    resend_delay_ = std::min(resend_delay_ * 2, longest_resend_delay);
    resend_at_ = now + resend_delay_;
    return {unacknowledged_.begin(), unacknowledged_.end()};
}

} // namespace snipespar::limits
