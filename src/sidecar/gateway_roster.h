#pragma once

#include "cli/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace snipespar::sidecar {

/// Decides which gateways a sidecar's report names, so that gateways learn of each other.
///
/// Up to `whole_list_gateways` every list names all of them. Beyond, each list names a part that
/// shrinks as the fleet grows, and the next list goes on behind it: every sidecar sends lists to
/// every gateway, so that what one gateway receives would grow with their product otherwise.
/// Gateways that have just come are named first.
class gateway_roster {
public:
    /// So many gateways are named by every list. At 72 gateways and as many sidecars a gateway
    /// receives 45 kB/s of lists.
    static constexpr std::size_t whole_list_gateways = 72;
    /// Smallest part.
    static constexpr std::size_t min_part = 16;

    /// `seed`: another one for each sidecar, so that they do not all name the same part.
    explicit gateway_roster(std::uint64_t seed) : seed_(seed) {}

    /// The gateway has sent its first message, or its first after it was forgotten.
    void on_new(const cli::endpoint& gateway) { new_.insert(gateway); }

    /// What the next list names of these gateways, which are in ascending order.
    std::vector<cli::endpoint> next(const std::vector<cli::endpoint>& known);

    /// Number of gateways in one list.
    static std::size_t part_of(std::size_t gateways);

private:
    std::uint64_t seed_;
    /// Not named yet.
    std::set<cli::endpoint> new_;
    /// Named last in the round.
    std::optional<cli::endpoint> last_;
};

} // namespace snipespar::sidecar
