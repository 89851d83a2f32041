#pragma once

#include "control/admission_answer.h"
#include "snipespar/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipespar::sidecar {

/// A call that waits for admission: the gateway's name and its number for the call.
struct admission_ticket {
    std::string gateway;
    std::uint64_t call = 0;

    friend auto operator<=>(const admission_ticket&, const admission_ticket&) = default;
    friend bool operator==(const admission_ticket&, const admission_ticket&) = default;
};

/// How long a call can wait.
struct admission_times {
    /// Until then it begins in time.
    duration aim{};
    /// After that it is of no use.
    duration max_wait{};

    friend bool operator==(const admission_times&, const admission_times&) = default;
};

/// A decision for the gateway that asked.
struct admission_decision {
    admission_ticket ticket;
    control::admission_answer::verdict verdict = control::admission_answer::verdict::granted;
    /// Expected wait of a queued call; for a refused one, the time after which to ask again.
    duration wait{};
    /// Prompt tokens of a granted call that the engine has not been given before.
    std::uint64_t prompt_tokens = 0;

    friend bool operator==(const admission_decision&, const admission_decision&) = default;
};

/// Keeps the streams of one engine at their pace by limiting the prompt tokens that the engine is
/// given.
///
/// An engine reads prompts in chunks between the tokens of its running streams, so that prompts
/// which arrive together delay each stream event by several chunks. The pattern that this answers:
/// bursts of prompts on an engine with running streams, whose mean load the engine can carry.
///
/// Without pauses nothing is limited. When streams pause for longer than they may, and more tokens
/// than ever without a pause were given within the time of one event, these are limited to what
/// passed without one. The limit rises
/// while it binds without pauses, slowly above the last one at which streams paused. Calls beyond
/// the limit wait, the most urgent first.
class prompt_pacer {
public:
    /// A call was sent to the engine without asking.
    void on_sent(std::uint64_t tokens, time_point now);

    /// A stream paused for `gap`, where its route wants at most `target`.
    void on_pause(duration gap, duration target, time_point now);

    /// The engine reads so many prompt tokens in a millisecond. Prompts that take a part of an
    /// event's time to read cannot pause streams beyond it, so that the limit does not fall below
    /// these.
    void on_read_speed(double tokens_per_ms) { tokens_per_ms_ = tokens_per_ms; }

    /// Streams of the engine usually last so long; zero while that is unknown. One that spans many
    /// events' times meets as many chances of a pause, so that prompts may take less of each.
    void on_run_time(duration run_time) { run_time_ = run_time; }

    /// A call asks to be sent. Asking again is harmless. Returns the answer to give now.
    admission_decision ask(const admission_ticket& ticket, std::uint64_t tokens, int urgency,
                           admission_times times, time_point now);

    void cancel(const admission_ticket& ticket);

    /// Decides the waiting calls whose turn has come or whose time has passed.
    std::vector<admission_decision> decide(time_point now);

    /// When `decide` is due next, if calls wait.
    std::optional<time_point> next_decision_at(time_point now) const;

    /// Whether calls have to ask.
    bool is_pacing() const { return limit_.has_value(); }

    /// Calls that wait for admission.
    int waiting() const { return static_cast<int>(waiting_.size()); }

    /// Most tokens given within the time of one event; nothing if unlimited.
    std::optional<double> limit() const { return limit_; }

private:
    struct given_tokens {
        time_point at;
        std::uint64_t tokens = 0;
    };
    /// Tokens given within one window that ends at a given call.
    struct window_load {
        time_point at;
        double tokens = 0;
        /// A stream paused about then.
        bool has_paused = false;
    };
    /// The most urgent first, then in order of arrival.
    struct queue_place {
        int urgency = 0;
        std::uint64_t arrival = 0;

        friend auto operator<=>(const queue_place&, const queue_place&) = default;
    };
    struct waiting_call {
        admission_ticket ticket;
        std::uint64_t tokens = 0;
        /// Until then it begins in time, and until then it can wait.
        time_point aim;
        time_point deadline;
    };
    using queue = std::map<queue_place, waiting_call>;

    void give(std::uint64_t tokens, time_point now);
    double given_within_window(time_point now) const;
    std::pair<double, double> loads_around_pause(time_point from, time_point until);
    queue::iterator next_waiting(time_point now);
    admission_decision finish(queue::iterator item, control::admission_answer::verdict outcome,
                              time_point now);
    double free_read_share() const;
    double lowest_limit() const;
    bool has_room(std::uint64_t tokens, time_point now) const;
    duration expected_wait(const queue_place& place, std::uint64_t tokens, time_point now) const;
    void adjust(time_point now);
    void forget(time_point now);

    duration window_{};
    /// 0 while unknown.
    double tokens_per_ms_ = 0;
    duration run_time_{};
    /// The limit did not fall below this when it was last adjusted.
    double floor_ = 0;
    std::optional<double> limit_;
    /// The lowest limit at which streams paused, with some distance.
    double ceiling_ = 0;
    std::deque<given_tokens> given_;
    /// Loads before the limit was set.
    std::deque<window_load> loads_;
    queue waiting_;
    std::map<admission_ticket, queue_place> places_;
    /// Tickets granted lately, so that a repeated question is not charged twice.
    std::map<admission_ticket, time_point> granted_;
    std::uint64_t arrivals_ = 0;
    std::optional<time_point> first_pause_at_;
    time_point lowered_at_;
    time_point adjusted_at_;
    /// When the limit last made a call wait.
    time_point bound_at_;
};

} // namespace snipespar::sidecar
