#pragma once

#include "gateway/permit_kind.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <optional>
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
        /// The permit holds from now on.
        send,
    };

    permit_wait(std::uint64_t number, upstream_id upstream, time_point now,
                permit_kind kind = permit_kind::named_rate)
        : number_(number), upstream_(std::move(upstream)), kind_(kind),
          answer_due_(now + answer_timeout)
    {
    }

    /// The permit was granted and holds from `send_at` on.
    void on_granted(time_point send_at) { send_at_ = send_at; }

    step on_tick(time_point now)
    {
        if (send_at_ && now < *send_at_ + permit_lifetime) {
            return now < *send_at_ ? step::wait : step::send;
        }
        if (send_at_) {
            // This process was not run: permits used late come together with those of others.
            send_at_.reset();
            questions_ = 0;
            answer_due_ = now + answer_timeout;
            return step::ask_again;
        }
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
    permit_kind kind() const { return kind_; }

private:
    // A gateway answers within a few milliseconds, unless a datagram is lost or its host is busy.
    static constexpr duration answer_timeout = std::chrono::milliseconds(40);
    static constexpr int max_questions = 2;
    // The users' bound on cold upstreams leaves a third of a second of the rate.
    static constexpr duration permit_lifetime = std::chrono::milliseconds(200);

    std::uint64_t number_;
    upstream_id upstream_;
    permit_kind kind_;
    time_point answer_due_;
    std::optional<time_point> send_at_;
    int questions_ = 0;
};

} // namespace snipespar::gateway
