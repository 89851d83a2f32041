// Stand-in for the platform on loopback, for tests and trial environments.
//
// usage: platform_stand_in PORT[,PORT...] [HOST_LAG_MS [WRITES_PER_S [READS_PER_S]]]

#include "platform_server.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <cstdlib>
#include <exception>
#include <fmt/core.h>
#include <string>
#include <vector>

namespace {

std::uint64_t argument(const std::vector<std::string>& arguments, std::size_t index,
                       std::uint64_t fallback)
{
    std::uint64_t value = 0;
    return index < arguments.size() && absl::SimpleAtoi(arguments[index], &value) ? value
                                                                                  : fallback;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace snipespar::stand_in;
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty()) {
        fmt::print(stderr, "usage: platform_stand_in PORT[,PORT...] "
                           "[HOST_LAG_MS [WRITES_PER_S [READS_PER_S]]]\n");
        return EXIT_FAILURE;
    }
    platform_limits limits;
    limits.host_lag = std::chrono::milliseconds(argument(arguments, 1, 0));
    limits.writes_per_s = argument(arguments, 2, limits.writes_per_s);
    limits.reads_per_s = argument(arguments, 3, limits.reads_per_s);
    boost::asio::io_context context(1);
    platform_server server(context, limits);
    const std::vector<std::string> ports = absl::StrSplit(arguments.front(), ',');
    try {
        for (const std::string& port : ports) {
            server.listen(static_cast<std::uint16_t>(std::stoul(port)));
        }
    }
    catch (const std::exception& error) {
        fmt::print(stderr, "cannot listen on {}: {}\n", arguments.front(), error.what());
        return EXIT_FAILURE;
    }
    fmt::print(stderr, "listening on {}\n", arguments.front());
    context.run();
}
