#pragma once

#include "entry/limit_store.h"
#include "entry/refusal.h"
#include "limits/limit_node.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace snipespar::config {
struct snapshot;
}

namespace snipespar::telemetry {
class metrics_registry;
}

namespace snipespar::entry {

class peer_links;

/// This entry's share in the fleet-wide token budgets of the teams. The limit node runs on the
/// control thread; the traffic threads reserve tokens, report deliveries and check whether they may
/// deliver.
class team_budgets {
public:
    /// Called on the control thread, with none once the tokens are reserved or with the refusal.
    using decision_handler = std::function<void(std::optional<refusal>)>;

    /// `control` and `peers` must outlive the object; `peers` must not have any link yet.
    team_budgets(boost::asio::io_context& control, const incarnation& self, peer_links& peers,
                 telemetry::metrics_registry& metrics);

    /// Starts the limit node. Control thread only.
    void start(limit_store store);

    /// Applies the teams' rates and bursts. Control thread only.
    void set_config(const config::snapshot& config);

    /// Stops the limit node. Control thread only.
    void stop();

    /// Reserves tokens of a team and returns the reservation's number; from any thread.
    limits::request_number reserve(const team_id& team, std::uint64_t tokens,
                                   decision_handler handler);

    /// Tokens of a reservation were delivered to the caller; from any thread.
    void delivered(limits::request_number number, std::uint64_t tokens);

    /// The request has ended and releases the tokens that it did not use; from any thread.
    void finished(limits::request_number number);

    /// Whether this process may now deliver tokens that were reserved in `generation`. None means
    /// not yet: the process was paused and its shares are being confirmed. From any thread.
    std::optional<bool> may_deliver(std::uint64_t generation) const;

    /// How often the fleet has declared this process failed, so that its limit node was restarted;
    /// from any thread.
    std::uint64_t generation() const { return generation_.load(); }

private:
    using number = limits::request_number;

    void start_node();
    void tick();
    void list_members();
    void update_metrics();
    void on_message(const incarnation& from, const std::string& payload);
    void on_presence(const incarnation& peer, bool present);
    void carry_out(const limits::limit_actions& actions);
    void act(const limits::granted& action);
    void act(const limits::refused& action);
    void act(const limits::send_message& action);
    void act(const limits::read_table& action);
    void act(const limits::write_table& action);
    void act(const limits::deliveries_suspended& action);
    void act(const limits::deliveries_resumed& action);
    void act(const limits::restart_required& action);

    boost::asio::io_context& control_;
    boost::asio::steady_timer timer_;
    incarnation self_;
    peer_links& peers_;
    telemetry::metrics_registry& metrics_;
    limit_store store_;
    std::vector<limits::limit_spec> specs_;
    std::unique_ptr<limits::limit_node> node_;
    limits::limit_counters reported_counters_;
    std::map<number, decision_handler> waiting_;
    std::map<host_id, std::uint64_t> newest_start_;
    time_point next_list_;
    bool restart_requested_ = false;
    std::atomic<number> last_number_{0};
    std::atomic<std::uint64_t> generation_{0};
    std::atomic<bool> suspended_{false};
    std::atomic<duration::rep> last_tick_{0};
};

} // namespace snipespar::entry
