#pragma once

#include "snipespar/time.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace snipespar::sidecar {

/// Prompt tokens that one engine has been given and has not read, and the speed at which it reads.
///
/// The pattern that this answers: prompts that differ by a factor of twenty in length, on engines
/// that differ in speed, so that neither the number of calls nor the time tells the work ahead. An
/// engine reports only how many calls wait; it reads prompts in about the order in which it gets
/// them, so that the last ones given are those that wait.
///
/// The speed is measured while prompts wait throughout, and counts parts that the engine still has
/// in its cache as read.
class prompt_queue {
public:
    /// A prompt was given to the engine.
    void on_given(std::uint64_t tokens, time_point now);

    /// The engine, identified by the start of its process, reported this number of calls whose
    /// response has not begun.
    void on_report(std::uint64_t process_start_ms, int waiting, time_point now);

    std::uint64_t waiting_tokens() const { return waiting_tokens_; }

    /// Tokens read in a millisecond; 0 until it has been measured.
    double tokens_per_ms() const { return tokens_per_ms_; }

private:
    void forget_prompts();
    std::uint64_t tokens_of_last(int prompts) const;

    std::uint64_t process_start_ms_ = 0;
    /// The last prompts given, oldest first.
    std::deque<std::uint64_t> given_;
    std::uint64_t given_total_ = 0;
    std::uint64_t waiting_tokens_ = 0;
    double tokens_per_ms_ = 0;
    struct report {
        time_point at;
        /// Tokens of all prompts that were read by then.
        double begun_total = 0;
        bool has_waiting = false;
    };
    std::optional<report> last_report_;
    /// Tokens read while prompts waited, and the time that took; older ones count less.
    double read_tokens_ = 0;
    double read_ms_ = 0;
};

} // namespace snipespar::sidecar
