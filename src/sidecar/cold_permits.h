#pragma once

#include "control/permit_answer.h"
#include "control/permit_request.h"
#include "snipespar/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace snipespar::sidecar {

/// Issues the permits to send calls to the engine of this host while it is cold, for all gateways.
/// Each permit is a moment of its own, and the moments of consecutive permits are one interval of
/// the rate apart, so that the calls do not come together however many gateways ask. A sidecar that
/// has just started begins with one interval, so that its restart adds nothing.
class cold_permits {
public:
    /// `gateway`: the asking one; a repeated question for the same call gets the same moment.
    control::permit_answer answer(const control::permit_request& request,
                                  const std::string& gateway, time_point now);

private:
    void drop_expired(time_point now);

    bool has_issued_ = false;
    /// The first moment that is not taken.
    time_point next_;
    /// Moments issued lately, by gateway and call.
    std::map<std::pair<std::string, std::uint64_t>, time_point> issued_;
};

} // namespace snipespar::sidecar
