#include "gateway/rate_permits.h"

#include "base/stable_hash.h"
#include "gateway/peer_directory.h"

#include <algorithm>

namespace snipespar::gateway {

namespace {

// A gateway that has just started does not know all others yet.
constexpr auto discovery_time = std::chrono::seconds(1);
constexpr auto silence_time = std::chrono::seconds(1);
// The part of the rate that a gateway issues without being the one that ranks first is at most
// this, even if it knows of no others.
constexpr int min_divisor = 4;

const cli::endpoint& issuer_for(const upstream_id& upstream, const peer_directory& peers)
{
    return peers.first_for(stable_hash(upstream.str()));
}

} // namespace

double rate_permits::own_share(const upstream_id& upstream, const peer_directory& peers,
                               bool is_stopping, time_point now) const
{
    const bool is_issuer = issuer_for(upstream, peers) == peers.self() && !is_stopping &&
                           now - started_ >= discovery_time;
    return is_issuer ? 1.0 : 1.0 / std::max(peers.count(), min_divisor);
}

std::variant<control::permit_answer, permit_question>
rate_permits::ask(const control::permit_request& request, const peer_directory& peers,
                  bool is_stopping, time_point now)
{
    const auto& issuer = issuer_for(request.upstream, peers);
    const auto silent = silent_until_.find(issuer);
    const bool is_silent = silent != silent_until_.end() && now < silent->second;
    if (issuer != peers.self() && !is_silent) {
        return permit_question{issuer, request};
    }
    return on_request(request, peers, is_stopping, now);
}

void rate_permits::on_silence(const upstream_id& upstream, const peer_directory& peers,
                              time_point now)
{
    silent_until_[issuer_for(upstream, peers)] = now + silence_time;
}

control::permit_answer rate_permits::on_request(const control::permit_request& request,
                                                const peer_directory& peers, bool is_stopping,
                                                time_point now)
{
    return issuer_.answer(request, own_share(request.upstream, peers, is_stopping, now), now);
}

void rate_permits::on_tick(time_point now)
{
    issuer_.on_tick(now);
    std::erase_if(silent_until_, [&](const auto& item) { return now >= item.second; });
}

} // namespace snipespar::gateway
