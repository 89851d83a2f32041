#include "sidecar/finding_keeper.h"

#include <chrono>

namespace snipespar::sidecar {

namespace {

// Messages of a gateway with which it is told; they are half a second to two seconds apart.
constexpr int told_messages = 3;
constexpr auto gateway_lifetime = std::chrono::seconds(10);

} // namespace

void finding_keeper::keep(const poison::suspect_digest& findings, time_point now)
{
    findings_.merge(findings, now);
}

poison::suspect_digest finding_keeper::on_message(const cli::endpoint& gateway, std::uint64_t start,
                                                  time_point now)
{
    auto& known = gateways_[gateway];
    if (known.start != start) {
        known = {start, told_messages, now};
    }
    known.seen_at = now;
    if (known.messages_left == 0) {
        return {};
    }
    --known.messages_left;
    return findings_.refused_findings(now);
}

void finding_keeper::on_tick(time_point now)
{
    findings_.on_tick(now);
    std::erase_if(gateways_,
                  [now](const auto& item) { return now - item.second.seen_at > gateway_lifetime; });
}

} // namespace snipespar::sidecar
