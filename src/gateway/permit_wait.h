#pragma once

#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <utility>

namespace snipespar::gateway {

/// One call's wait for the permit to be sent to an upstream with a request rate. Questions and
/// answers may be lost.
class permit_wait {
public:
    /// What the call does next.
    enum class step : std::uint8_t {
        wait,
        ask_again,
        /// The issuer does not answer.
        give_up,
    };

    permit_wait(std::uint64_t number, upstream_id upstream, time_point now)
        : number_(number), upstream_(std::move(upstream)), answer_due_(now + answer_timeout)
    {
    }

    step on_tick(time_point now)
    {
        if (now < answer_due_) {
            return step::wait;
        }
        if (++questions_ >= max_questions) {
            return step::give_up;
        }
        answer_due_ = now + answer_timeout;
        return step::ask_again;
    }

    std::uint64_t number() const { return number_; }
    const upstream_id& upstream() const { return upstream_; }

private:
    // A gateway answers within a few milliseconds, unless a datagram is lost or its host is busy.
    static constexpr duration answer_timeout = std::chrono::milliseconds(40);
    static constexpr int max_questions = 2;

    std::uint64_t number_;
    upstream_id upstream_;
    time_point answer_due_;
    int questions_ = 0;
};

} // namespace snipespar::gateway
