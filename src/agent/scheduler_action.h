#pragma once

#include "agent/work_item.h"
#include "snipespar/ids.h"
#include "snipespar/run_state.h"
#include "snipespar/time.h"

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace snipespar::agent {

/// Why a request was refused without having run.
enum class refusal_reason {
    queue_full,
    /// It would not start before its deadline.
    deadline,
    /// Its adapter fails to load.
    load_failed,
    draining,
    upstream_down,
    /// Suspected of crashing upstreams.
    suspect,
};

/// The form used on links and in metrics.
std::string_view to_string(refusal_reason reason);

/// Why a request that was handed to the upstream ended without a whole answer.
enum class failure_reason {
    upstream_died,
    upstream_failed,
    /// The upstream says that another adapter or version ran.
    wrong_adapter,
};

/// The form used on links and in metrics.
std::string_view to_string(failure_reason reason);

/// What an agent tells the entries about its upstream.
enum class upstream_phase {
    /// The agent does not know yet what the upstream holds.
    recovering,
    serving,
    draining,
    /// Nothing is left to finish.
    drained,
    down,
};

/// Number of an order to the upstream; rises with each order.
using fencing_number = std::uint64_t;

/// Send the request to the upstream.
struct run {
    request_number id = 0;
    friend bool operator==(const run&, const run&) = default;
};

/// Close the connection of a running request. Its end is still to be reported.
struct cancel_run {
    request_number id = 0;
    friend bool operator==(const cancel_run&, const cancel_run&) = default;
};

/// Final: the whole answer was delivered.
struct complete {
    request_number id = 0;
    friend bool operator==(const complete&, const complete&) = default;
};

/// Final: no byte of the request reached the upstream.
struct refuse {
    request_number id = 0;
    refusal_reason reason = refusal_reason::queue_full;
    /// When asking again may succeed.
    duration retry_after{};
    friend bool operator==(const refuse&, const refuse&) = default;
};

/// Final: the request was handed to the upstream and has no whole answer.
struct fail {
    request_number id = 0;
    run_state state = run_state::unknown;
    failure_reason reason = failure_reason::upstream_failed;
    friend bool operator==(const fail&, const fail&) = default;
};

/// Order the upstream to load an adapter.
struct load_adapter {
    adapter_ref adapter;
    fencing_number fence = 0;
    friend bool operator==(const load_adapter&, const load_adapter&) = default;
};

/// Order the upstream to drop an adapter.
struct evict_adapter {
    adapter_ref adapter;
    fencing_number fence = 0;
    friend bool operator==(const evict_adapter&, const evict_adapter&) = default;
};

/// Give an upstream that checks fencing numbers one that makes all older orders void.
struct raise_fence {
    fencing_number fence = 0;
    friend bool operator==(const raise_fence&, const raise_fence&) = default;
};

/// Read the adapters that the upstream holds, and report them.
struct read_upstream {
    friend bool operator==(const read_upstream&, const read_upstream&) = default;
};

/// Ask the fleet-wide limit of the weight store for one load.
struct ask_load_permit {
    adapter_ref adapter;
    friend bool operator==(const ask_load_permit&, const ask_load_permit&) = default;
};

/// The load for which a permit was granted has ended, or will not be made.
struct release_load_permit {
    adapter_ref adapter;
    friend bool operator==(const release_load_permit&, const release_load_permit&) = default;
};

/// These requests were in flight when the upstream died.
struct report_crash {
    std::vector<std::uint64_t> fingerprints;
    friend bool operator==(const report_crash&, const report_crash&) = default;
};

/// Tell the entries.
struct announce {
    upstream_phase phase = upstream_phase::recovering;
    friend bool operator==(const announce&, const announce&) = default;
};

/// What the shell has to do next, in the order returned.
using scheduler_action =
    std::variant<run, cancel_run, complete, refuse, fail, load_adapter, evict_adapter, raise_fence,
                 read_upstream, ask_load_permit, release_load_permit, report_crash, announce>;
using scheduler_actions = std::vector<scheduler_action>;

} // namespace snipespar::agent
