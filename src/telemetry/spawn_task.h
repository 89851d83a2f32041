#pragma once

#include "telemetry/logger.h"

#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <string>
#include <string_view>
#include <utility>

namespace snipespar::telemetry {

/// Logs the exception that ended a task as `task_failed`.
void log_task_failure(const logger& log, std::string_view task, const std::exception_ptr& error);

/// Runs a coroutine for whose end nothing waits, as `boost::asio::detached` does. An exception that
/// ends it is logged with the name of the task. `coroutine`: an awaitable or a function that
/// returns one.
template <class Executor, class Coroutine>
void spawn_task(Executor&& executor, const logger& log, std::string name, Coroutine&& coroutine)
{
    boost::asio::co_spawn(std::forward<Executor>(executor), std::forward<Coroutine>(coroutine),
                          [log, name = std::move(name)](const std::exception_ptr& error) {
                              if (error != nullptr) {
                                  log_task_failure(log, name, error);
                              }
                          });
}

} // namespace snipespar::telemetry
