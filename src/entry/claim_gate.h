#pragma once

#include "claims/claim_service.h"
#include "entry/claim_store.h"
#include "snipespar/ids.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace snipespar::entry {

class peer_links;

/// Runs the entry's claims on the control thread: sends their messages to the other entries, reads
/// and writes their journal objects at the platform, and passes decisions to the callers of
/// claim().
class claim_gate {
public:
    /// Called with the decision on a claim, on the control thread.
    using claim_done =
        std::function<void(const claims::claim_nonce&, const claims::claim_decision&)>;

    /// `peers` must outlive the gate and have no link yet.
    claim_gate(boost::asio::io_context& control, const incarnation& self,
               const claims::claim_limits& limits, claim_store store, peer_links& peers);

    /// Claims a key; `done` is called once.
    void claim(const claims::digest& key, const claims::digest& fingerprint, claim_done done);

    /// Reports how a granted claim ended.
    void finish(const claims::claim_nonce& nonce, run_state ran,
                std::optional<claims::recorded_answer> answer);

    const claims::claim_service& service() const { return service_; }

private:
    void apply(const claims::service_actions& actions);
    void carry_out(const claims::read_object& action);
    void carry_out(const claims::write_object& action);
    void carry_out(const claims::send_claim_message& action);
    void carry_out(const claims::claim_decided& action);
    void on_presence(const incarnation& peer, bool present);
    void on_message(const incarnation& from, const std::string& payload);
    void arm_timer();

    boost::asio::steady_timer timer_;
    claims::claim_service service_;
    claim_store store_;
    peer_links& peers_;
    std::map<host_id, incarnation> present_;
    std::map<claims::claim_nonce, claim_done> waiting_;
};

} // namespace snipespar::entry
