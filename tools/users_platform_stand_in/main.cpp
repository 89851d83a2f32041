// Stand-in for the users' platform on loopback, for tests and trial environments.
//
// usage: users_platform_stand_in store IP:PORT
//        users_platform_stand_in engine|service IP:PORT ID [SOFTWARE [empty]]

#include "store.h"
#include "worker.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdlib>
#include <exception>
#include <fmt/core.h>
#include <string>
#include <vector>

namespace {

using namespace users_platform_stand_in;

int run(const std::vector<std::string>& arguments)
{
    const auto& role = arguments[0];
    const auto& listen = arguments[1];
    boost::asio::io_context context(1);
    store objects(context);
    worker_options options;
    options.id = arguments.size() > 2 ? arguments[2] : std::string();
    options.software = arguments.size() > 3 ? arguments[3] : std::string();
    options.is_empty = arguments.size() > 4;
    options.is_engine = role == "engine";
    worker runner(context, options);
    const handler handle = [&](boost::asio::ip::tcp::socket& socket, const request& message) {
        return role == "store" ? objects.handle(socket, message) : runner.handle(socket, message);
    };
    serve(context, listen, handle);
    fmt::print(stderr, "listening on {}\n", listen);
    context.run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const bool is_store = arguments.size() == 2 && arguments[0] == "store";
    constexpr std::size_t fewest = 3;
    constexpr std::size_t most = 5;
    const bool is_worker = arguments.size() >= fewest && arguments.size() <= most &&
                           (arguments[0] == "engine" || arguments[0] == "service") &&
                           (arguments.size() < most || arguments.back() == "empty");
    if (!is_store && !is_worker) {
        fmt::print(stderr,
                   "usage: users_platform_stand_in store IP:PORT\n"
                   "       users_platform_stand_in engine|service IP:PORT ID [SOFTWARE [empty]]\n");
        return EXIT_FAILURE;
    }
    try {
        return run(arguments);
    }
    catch (const std::exception& error) {
        fmt::print(stderr, "cannot listen on {}: {}\n", arguments[1], error.what());
        return EXIT_FAILURE;
    }
}
