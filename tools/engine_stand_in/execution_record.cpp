#include "execution_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace engine_stand_in {

void execution_record::run_started(const std::string& request_id, const std::string& model)
{
    auto& entry = executions_[request_id];
    ++entry.started;
    entry.model = model;
}

void execution_record::run_finished(const std::string& request_id)
{
    ++executions_[request_id].finished;
}

void execution_record::running_changed(std::size_t running)
{
    max_running_ = std::max(max_running_, running);
}

void execution_record::load_ended(const std::string& name, bool loaded)
{
    ++(loaded ? loads_ : failed_loads_)[name];
}

void execution_record::unloaded(const std::string& name, bool while_running)
{
    ++evictions_[name];
    evictions_while_running_ += while_running ? 1 : 0;
}

void execution_record::received(std::string_view bytes)
{
    const std::size_t free_bytes = max_received_bytes - received_.size();
    received_.append(bytes.substr(0, free_bytes));
}

bool execution_record::contains(std::string_view text) const
{
    return received_.find(text) != std::string::npos;
}

nlohmann::json execution_record::to_json() const
{
    nlohmann::json executions = nlohmann::json::object();
    for (const auto& [id, entry] : executions_) {
        executions[id] = {
            {"count", entry.started},
            {"model", entry.model},
            {"started", entry.started},
            {"finished", entry.finished},
        };
    }
    return {
        {"executions", std::move(executions)},
        {"loads", loads_},
        {"failed_loads", failed_loads_},
        {"evictions", evictions_},
        {"evictions_while_running", evictions_while_running_},
        {"orders_refused", orders_refused_},
        {"max_running", max_running_},
        {"received_bytes", received_.size()},
    };
}

} // namespace engine_stand_in
