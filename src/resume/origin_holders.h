#pragma once

#include "cli/endpoint.h"
#include "resume/stream_key.h"
#include "snipespar/ids.h"

#include <array>
#include <cstddef>
#include <functional>
#include <vector>

namespace snipespar::resume {

/// A process that can hold origins for all gateways.
struct origin_holder {
    cli::endpoint address;
    failure_domain_id failure_domain;
    /// The upstream beside which a sidecar runs; empty for a gateway.
    upstream_id upstream;

    friend bool operator==(const origin_holder&, const origin_holder&) = default;
};

/// Ranks sidecars and other gateways as holders of each origin by rendezvous hashing, so that all
/// gateways find the same ones. Origins go to both kinds, as all processes of a kind may be killed
/// at once. Streams share a fixed number of rankings: one stream costs the same in any fleet.
class origin_holders {
public:
    /// Replaces the sidecars.
    void set_sidecars(std::vector<origin_holder> sidecars);

    /// Replaces the other gateways.
    void set_gateways(std::vector<cli::endpoint> gateways);

    /// The holders that an origin is sent to: two usable sidecars, in different failure domains if
    /// there are some, and one gateway.
    std::vector<cli::endpoint>
    to_tell(const stream_key& key,
            const std::function<bool(const origin_holder&)>& is_usable) const;

    /// The holders that may know an origin, also if the gateway that sent it saw other members of
    /// the fleet.
    std::vector<cli::endpoint> to_ask(const stream_key& key) const;

private:
    static constexpr std::size_t ranking_count = 64;
    using rankings = std::array<std::vector<const origin_holder*>, ranking_count>;

    static const std::vector<const origin_holder*>&
    ranking(const stream_key& key, const std::vector<origin_holder>& holders, std::size_t length,
            rankings& known);

    std::vector<origin_holder> sidecars_;
    std::vector<origin_holder> gateways_;
    /// The first holders for each group of streams; empty until they are needed.
    mutable rankings sidecar_rankings_;
    mutable rankings gateway_rankings_;
};

} // namespace snipespar::resume
