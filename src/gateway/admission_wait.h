#pragma once

#include "control/admission_answer.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <utility>

namespace snipespar::gateway {

/// One call's wait for a sidecar to admit its prompt. Questions and answers may be lost.
class admission_wait {
public:
    /// What the call does next.
    enum class step : std::uint8_t {
        wait,
        ask_again,
        /// Admitted, or the sidecar does not answer: the engine decides.
        send,
        /// The engine cannot take the call in time.
        go_elsewhere,
    };

    /// The call `number` has just asked the sidecar of this upstream and can wait for `max_wait`.
    admission_wait(std::uint64_t number, upstream_id upstream, duration max_wait, time_point now)
        : number_(number), upstream_(std::move(upstream)), began_(now), deadline_(now + max_wait),
          answer_due_(now + answer_timeout)
    {
    }

    step on_answer(const control::admission_answer& answer, time_point now)
    {
        switch (answer.decision) {
        case control::admission_answer::verdict::granted:
            return step::send;
        case control::admission_answer::verdict::refused:
            return step::go_elsewhere;
        case control::admission_answer::verdict::queued:
            break;
        }
        is_queued_ = true;
        questions_ = 0;
        answer_due_ = now + answer.wait + answer_timeout;
        return step::wait;
    }

    step on_tick(time_point now)
    {
        if (now >= deadline_) {
            return is_queued_ ? step::go_elsewhere : step::send;
        }
        if (now < answer_due_) {
            return step::wait;
        }
        if (++questions_ > max_questions) {
            return step::send;
        }
        answer_due_ = now + answer_timeout;
        return step::ask_again;
    }

    std::uint64_t number() const { return number_; }
    const upstream_id& upstream() const { return upstream_; }
    time_point began() const { return began_; }
    /// How much longer the call can wait.
    duration time_left(time_point now) const { return deadline_ - now; }

private:
    // A sidecar answers within a few milliseconds, unless a datagram is lost or its host is busy.
    static constexpr duration answer_timeout = std::chrono::milliseconds(60);
    static constexpr int max_questions = 2;

    std::uint64_t number_;
    upstream_id upstream_;
    time_point began_;
    time_point deadline_;
    time_point answer_due_;
    bool is_queued_ = false;
    /// Unanswered questions since the last answer.
    int questions_ = 0;
};

} // namespace snipespar::gateway
