#include "fault_switches.h"

#include <nlohmann/json.hpp>

namespace engine_stand_in {

namespace {

void clear_stream_faults(fault_switches& switches)
{
    switches.echo.clear();
    switches.truncate_after.reset();
    switches.clean_truncation = false;
    switches.silent_after.reset();
    switches.duplicate_token.reset();
    switches.delay_token.reset();
    switches.rubbish = false;
}

// Returns whether the member is known; throws nlohmann's type error for a value of a wrong type.
bool set_member(fault_switches& switches, const std::string& name, const nlohmann::json& value)
{
    if (name == "crash_on") {
        switches.crash_on = value.get<std::string>();
    }
    else if (name == "crash_after") {
        switches.crash_after = value.get<std::uint32_t>();
    }
    else if (name == "fail_loads") {
        switches.fail_loads = value.get<std::uint32_t>();
    }
    else if (name == "load_ms") {
        switches.load_time = std::chrono::milliseconds(value.get<std::uint32_t>());
    }
    else if (name == "echo") {
        switches.echo = value.get<std::string>();
    }
    else if (name == "truncate_after") {
        switches.truncate_after = value.get<std::uint32_t>();
    }
    else if (name == "clean_truncation") {
        switches.clean_truncation = value.get<bool>();
    }
    else if (name == "silent_after") {
        switches.silent_after = value.get<std::uint32_t>();
    }
    else if (name == "duplicate_token") {
        switches.duplicate_token = value.get<std::uint32_t>();
    }
    else if (name == "delay_token") {
        switches.delay_token = value.get<std::uint32_t>();
    }
    else if (name == "delay_ms") {
        switches.delay = std::chrono::milliseconds(value.get<std::uint32_t>());
    }
    else if (name == "rubbish") {
        switches.rubbish = value.get<bool>();
    }
    else if (name == "runs") {
        switches.runs = value.get<std::uint32_t>();
    }
    else {
        return name == "reset" || name == "cold_restart";
    }
    return true;
}

} // namespace

fault_switches fault_switches::take_run()
{
    fault_switches applied = *this;
    if (!runs) {
        return applied;
    }
    if (*runs == 0) {
        clear_stream_faults(applied);
        return applied;
    }
    runs = *runs - 1;
    return applied;
}

std::optional<std::string> fault_switches::apply(const nlohmann::json& change)
{
    if (!change.is_object()) {
        return "the faults must be an object";
    }
    fault_switches changed = change.value("reset", false) ? fault_switches{} : *this;
    try {
        for (const auto& [name, value] : change.items()) {
            if (!set_member(changed, name, value)) {
                return "unknown fault " + name;
            }
        }
    }
    catch (const nlohmann::json::exception& error) {
        return error.what();
    }
    *this = changed;
    return std::nullopt;
}

} // namespace engine_stand_in
