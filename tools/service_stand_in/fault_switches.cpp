#include "fault_switches.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace service_stand_in {

namespace {

// Returns whether the member is known; throws nlohmann's type error for a value of a wrong type.
bool set_member(fault_switches& switches, const std::string& name, const nlohmann::json& value)
{
    const std::pair<const char*, bool*> flags[] = {
        {"close_before", &switches.close_before},
        {"close_after", &switches.close_after},
        {"silent_before", &switches.silent_before},
        {"silent_after", &switches.silent_after},
        {"truncate", &switches.truncate},
        {"wrong_length", &switches.wrong_length},
        {"rubbish", &switches.rubbish},
    };
    for (const auto& [flag, member] : flags) {
        if (name == flag) {
            *member = value.get<bool>();
            return true;
        }
    }
    if (name == "delay_before_ms") {
        switches.delay_before = std::chrono::milliseconds(value.get<std::uint32_t>());
    }
    else if (name == "delay_after_ms") {
        switches.delay_after = std::chrono::milliseconds(value.get<std::uint32_t>());
    }
    else if (name == "status") {
        switches.status = value.get<unsigned>();
    }
    else if (name == "runs") {
        switches.runs = value.get<std::uint32_t>();
    }
    else {
        return false;
    }
    return true;
}

} // namespace

fault_switches fault_switches::take()
{
    if (!runs) {
        return *this;
    }
    if (*runs == 0) {
        return {};
    }
    --*runs;
    return *this;
}

std::optional<std::string> fault_switches::replace(const nlohmann::json& change)
{
    if (!change.is_object()) {
        return "the faults must be an object";
    }
    fault_switches changed;
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

} // namespace service_stand_in
