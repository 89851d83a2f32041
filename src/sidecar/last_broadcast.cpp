#include "sidecar/last_broadcast.h"

#include "sidecar/status_change.h"

namespace snipespar::sidecar {

namespace {

// A whole report goes to all gateways at least this often, as datagrams may be lost.
constexpr auto whole_report_interval = std::chrono::milliseconds(1800);

} // namespace

void last_broadcast::on_sent_to_all(const gateway::engine_status& status, std::uint64_t sequence,
                                    time_point now)
{
    status_ = status;
    sent_at_ = now;
    sequence_ = sequence;
    is_latest_ = true;
}

bool last_broadcast::can_confirm(const gateway::engine_status& status, time_point now) const
{
    return is_latest_ && now - sent_at_ < whole_report_interval &&
           equal_but_for_load(status_, status);
}

} // namespace snipespar::sidecar
