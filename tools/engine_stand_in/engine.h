#pragma once

#include "adapter_slots.h"
#include "engine_options.h"
#include "execution_record.h"
#include "fault_switches.h"
#include "run_queue.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace engine_stand_in {

/// State shared by all connections. Used by one thread.
class engine {
public:
    engine(boost::asio::any_io_executor executor, const engine_options& options);

    const engine_options& options() const { return options_; }
    adapter_slots& slots() { return slots_; }
    execution_record& record() { return record_; }
    run_queue& queue() { return queue_; }
    fault_switches& faults() { return faults_; }

    /// Increases with each cold restart, which ends all earlier work.
    std::uint64_t incarnation() const { return incarnation_; }

    /// Evicts all adapters and aborts running requests.
    void cold_restart();

    /// Duration of a load that starts now.
    std::chrono::microseconds load_time() const;

    /// Load report, cached for up to `report_lag`.
    std::string load_report();

private:
    nlohmann::json current_report() const;

    engine_options options_;
    adapter_slots slots_;
    execution_record record_;
    run_queue queue_;
    fault_switches faults_;
    std::uint64_t incarnation_;
    std::string report_;
    std::chrono::steady_clock::time_point reported_at_;
};

/// Text of one generated token; depends only on the model, the prompt and the index.
std::string token_text(std::string_view model, std::string_view prompt, std::uint32_t index);

} // namespace engine_stand_in
