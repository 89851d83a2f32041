#include "sidecar/prompt_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace snipespar::sidecar {

namespace {

// More calls than an engine holds.
constexpr std::size_t max_prompts = 1024;
// Reading time from which the speed is known: several short prompts.
constexpr double min_read_ms = 150;
// Time after which a measurement counts a third: hosts change their speed within seconds.
constexpr double memory_ms = 5000;
// A stalled engine is known to be slow, rather than of unknown speed.
constexpr double min_tokens_per_ms = 0.1;
// After a longer interval without waiting calls at its end, the engine may have been idle for most
// of it.
constexpr double max_exact_interval_ms = 40;

} // namespace

void prompt_queue::on_given(std::uint64_t tokens, time_point /*now*/)
{
    given_.push_back(tokens);
    given_total_ += tokens;
    waiting_tokens_ += tokens;
    if (given_.size() > max_prompts) {
        given_.pop_front();
    }
}

void prompt_queue::on_report(std::uint64_t process_start_ms, int waiting, time_point now)
{
    const auto known = std::exchange(process_start_ms_, process_start_ms);
    if (known != 0 && known != process_start_ms) {
        // Another process runs there, at which nothing waits.
        forget_prompts();
    }
    waiting_tokens_ = tokens_of_last(waiting);
    // Prompts are counted once they have been read whole, so that a long one counts late.
    const auto begun_total = static_cast<double>(given_total_ - waiting_tokens_);
    if (last_report_ && last_report_->has_waiting) {
        const double passed_ms =
            std::chrono::duration<double, std::milli>(now - last_report_->at).count();
        if (waiting > 0 || passed_ms <= max_exact_interval_ms) {
            const double kept = std::exp(-passed_ms / memory_ms);
            read_ms_ = read_ms_ * kept + passed_ms;
            read_tokens_ =
                std::max(read_tokens_ * kept + begun_total - last_report_->begun_total, 0.0);
        }
    }
    last_report_ = report{now, begun_total, waiting > 0};
    if (read_ms_ >= min_read_ms) {
        tokens_per_ms_ = std::max(read_tokens_ / read_ms_, min_tokens_per_ms);
    }
}

void prompt_queue::forget_prompts()
{
    given_.clear();
    given_total_ = 0;
    waiting_tokens_ = 0;
    last_report_.reset();
}

std::uint64_t prompt_queue::tokens_of_last(int prompts) const
{
    const auto count = std::min(given_.size(), static_cast<std::size_t>(std::max(prompts, 0)));
    std::uint64_t sum = 0;
    for (std::size_t i = given_.size() - count; i < given_.size(); ++i) {
        sum += given_[i];
    }
    return sum;
}

} // namespace snipespar::sidecar
