#pragma once

#include "telemetry/logger.h"

#include <concepts>
#include <exception>
#include <string>
#include <string_view>

namespace snipespar::telemetry {

/// Runs one unit of work, such as one connection's input or one message. An exception ends this
/// unit only: it is logged as `unit_failed` with the unit's kind and id, and `on_failure` undoes
/// what the unit has begun. Returns whether the unit completed.
template <std::invocable Action, std::invocable Failure>
bool contain(const logger& log, std::string_view unit, std::string_view id, const Action& action,
             const Failure& on_failure)
{
    try {
        action();
        return true;
    }
    catch (const std::exception& error) {
        log.error("unit_failed", {{"unit", unit}, {"id", id}, {"reason", error.what()}});
    }
    try {
        on_failure();
    }
    catch (const std::exception& error) {
        log.error("unit_failed",
                  {{"unit", unit}, {"id", id}, {"reason", error.what()}, {"cleanup", true}});
    }
    return false;
}

template <std::invocable Action>
bool contain(const logger& log, std::string_view unit, std::string_view id, const Action& action)
{
    return contain(log, unit, id, action, [] {});
}

} // namespace snipespar::telemetry
