#include "telemetry/spawn_task.h"

namespace snipespar::telemetry {

void log_task_failure(const logger& log, std::string_view task, const std::exception_ptr& error)
{
    try {
        std::rethrow_exception(error);
    }
    catch (const std::exception& cause) {
        log.error("task_failed", {{"task", task}, {"reason", cause.what()}});
    }
    catch (...) {
        log.error("task_failed", {{"task", task}, {"reason", "an exception of unknown type"}});
    }
}

} // namespace snipespar::telemetry
