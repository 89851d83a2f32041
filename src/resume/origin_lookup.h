#pragma once

#include "cli/endpoint.h"
#include "resume/stream_key.h"
#include "snipespar/time.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace snipespar::resume {

/// The questions of one gateway for the origin of one stream. Questions and answers may be lost.
class origin_lookup {
public:
    /// What the gateway does next.
    enum class step : std::uint8_t {
        wait,
        /// Ask those that have not answered.
        ask,
        /// Nobody knows the origin, or nobody who does answers.
        give_up,
    };

    /// All holders have just been asked.
    origin_lookup(stream_key key, std::vector<cli::endpoint> holders, time_point now)
        : key_(key), unanswered_(std::move(holders)), timeout_(first_timeout),
          answers_due_(now + timeout_)
    {
    }

    /// The holder does not know the origin.
    step on_unknown(const cli::endpoint& holder)
    {
        std::erase(unanswered_, holder);
        return unanswered_.empty() ? step::give_up : step::wait;
    }

    step on_tick(time_point now)
    {
        if (now < answers_due_) {
            return step::wait;
        }
        if (++rounds_ >= max_rounds) {
            return step::give_up;
        }
        timeout_ *= 2;
        answers_due_ = now + timeout_;
        return step::ask;
    }

    const stream_key& key() const { return key_; }
    const std::vector<cli::endpoint>& unanswered() const { return unanswered_; }

private:
    // A holder answers within a few milliseconds, unless a datagram is lost or its host is busy.
    static constexpr duration first_timeout = std::chrono::milliseconds(40);
    static constexpr int max_rounds = 3;

    stream_key key_;
    std::vector<cli::endpoint> unanswered_;
    duration timeout_;
    time_point answers_due_;
    int rounds_ = 0;
};

} // namespace snipespar::resume
