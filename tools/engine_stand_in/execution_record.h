#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace engine_stand_in {

/// Executions of one request id on this engine.
struct execution {
    /// Number of times that generation began.
    std::uint32_t started = 0;
    /// Number of times that the complete response was generated.
    std::uint32_t finished = 0;
    std::string model;
};

/// Executions, orders and received bytes, recorded for tests to query.
class execution_record {
public:
    void run_started(const std::string& request_id, const std::string& model);
    void run_finished(const std::string& request_id);
    void running_changed(std::size_t running);
    void load_ended(const std::string& name, bool loaded);
    void unloaded(const std::string& name, bool while_running);
    void order_refused() { ++orders_refused_; }

    /// Stores the bytes of one received request, up to `max_received_bytes` in total.
    void received(std::string_view bytes);

    /// Whether any received request contained the text.
    bool contains(std::string_view text) const;

    nlohmann::json to_json() const;

private:
    std::map<std::string, execution> executions_;
    std::map<std::string, std::uint32_t> loads_;
    std::map<std::string, std::uint32_t> failed_loads_;
    std::map<std::string, std::uint32_t> evictions_;
    std::uint32_t evictions_while_running_ = 0;
    std::uint32_t orders_refused_ = 0;
    std::size_t max_running_ = 0;
    std::string received_;
};

/// Maximum of received bytes stored for searching.
inline constexpr std::size_t max_received_bytes = std::size_t{64} * 1024 * 1024;

} // namespace engine_stand_in
