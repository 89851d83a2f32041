#pragma once

#include "control/permit_answer.h"
#include "control/permit_request.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <map>
#include <utility>

namespace snipespar::gateway {

/// Grants permits to send calls to upstreams that have named a request rate. A bucket for each
/// process of an upstream starts empty, so that a change of the issuer adds no burst.
class permit_issuer {
public:
    /// `share`: the part of the rate that this issuer may grant, 0 to 1.
    control::permit_answer answer(const control::permit_request& request, double share,
                                  time_point now);

    /// Drops buckets that are no longer used.
    void on_tick(time_point now);

private:
    struct bucket {
        double rate_per_s = 0;
        bool has_ended = false;
        /// When the rate was named or ended, and when it was last applied.
        time_point named_at;
        time_point filled_at;
        double tokens = 0;
        /// A partial share is kept only for calls that come when they were told to.
        time_point expected_until;
    };

    /// By upstream and process start.
    std::map<std::pair<upstream_id, std::uint64_t>, bucket> buckets_;
};

} // namespace snipespar::gateway
