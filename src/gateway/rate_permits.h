#pragma once

#include "cli/endpoint.h"
#include "control/permit_answer.h"
#include "control/permit_request.h"
#include "gateway/permit_issuer.h"
#include "snipespar/time.h"

#include <map>
#include <variant>

namespace snipespar::gateway {

class peer_directory;

/// A permit request and the gateway that it goes to.
struct permit_question {
    cli::endpoint issuer;
    control::permit_request content;

    friend bool operator==(const permit_question&, const permit_question&) = default;
};

/// Keeps the request rates that upstreams name, over all gateways. The gateway that ranks first for
/// an upstream issues the permits of all; others ask it. One that gets no answer issues a small
/// part of the rate itself, so that all of them together stay below it.
class rate_permits {
public:
    explicit rate_permits(time_point started) : started_(started) {}

    /// Returns the answer, or the question to send. `is_stopping`: other gateways no longer ask
    /// this one.
    std::variant<control::permit_answer, permit_question>
    ask(const control::permit_request& request, const peer_directory& peers, bool is_stopping,
        time_point now);

    /// The issuer of this upstream's permits did not answer.
    void on_silence(const upstream_id& upstream, const peer_directory& peers, time_point now);

    /// Answers another gateway.
    control::permit_answer on_request(const control::permit_request& request,
                                      const peer_directory& peers, bool is_stopping,
                                      time_point now);

    void on_tick(time_point now);

private:
    double own_share(const upstream_id& upstream, const peer_directory& peers, bool is_stopping,
                     time_point now) const;

    time_point started_;
    permit_issuer issuer_;
    /// Gateways that did not answer are not asked until then.
    std::map<cli::endpoint, time_point> silent_until_;
};

} // namespace snipespar::gateway
