#include "gateway/evacuation_news.h"

#include "base/stable_hash.h"

#include <string>

namespace snipespar::gateway {

namespace {

// All gateways hear of a change within this time, unless one misses it. The users allow some
// seconds.
constexpr auto settling_time = std::chrono::seconds(1);
// Another gateway may be cut off from the store for long, and state the same all the while.
constexpr auto check_lifetime = std::chrono::seconds(10);

std::uint64_t statement_of(const std::set<failure_domain_id>& domains)
{
    std::string names;
    for (const auto& domain : domains) {
        names += domain.str();
        names += '\n';
    }
    // 0 states nothing.
    return stable_hash(names) | 1;
}

} // namespace

void evacuation_news::on_read(const std::set<failure_domain_id>& domains, time_point now)
{
    const auto statement = statement_of(domains);
    if (statement != own_) {
        own_ = statement;
        changed_at_ = now;
        checked_ = 0;
    }
}

bool evacuation_news::should_read(std::uint64_t peer_statement, time_point now)
{
    const bool is_checked = peer_statement == checked_ && now < checked_until_;
    if (own_ == 0 || peer_statement == 0 || peer_statement == own_ || is_checked ||
        now - changed_at_ < settling_time) {
        return false;
    }
    checked_ = peer_statement;
    checked_until_ = now + check_lifetime;
    return true;
}

} // namespace snipespar::gateway
