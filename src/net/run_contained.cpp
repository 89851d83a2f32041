#include "net/run_contained.h"

#include <exception>

namespace snipespar::net {

void run_contained(boost::asio::io_context& io, const telemetry::logger& log)
{
    while (!io.stopped()) {
        try {
            io.run();
        }
        catch (const std::exception& error) {
            log.error("handler_failed", {{"reason", error.what()}});
        }
    }
}

} // namespace snipespar::net
