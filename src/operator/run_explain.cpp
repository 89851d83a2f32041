#include "operator/run_explain.h"

#include "base/json_text.h"
#include "net/http_client.h"
#include "operator/explain_report.h"

#include <absl/status/status.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <fmt/core.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace snipespar::operators {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using cli::exit_code;

namespace {

constexpr unsigned http_version = 11;
// The longest answer lists some hundred upstreams of 400 bytes.
constexpr std::size_t max_answer_bytes = 1024UL * 1024;

using reply = absl::StatusOr<net::http_client::response>;

asio::awaitable<void> ask(net::http_client& client, std::string target, duration timeout,
                          reply& result)
{
    net::http_client::request message{http::verb::get, target, http_version};
    message.keep_alive(false);
    result = co_await client.call(std::move(message), timeout);
}

reply fetch(const cli::explain_command& command)
{
    asio::io_context context(1);
    net::http_client client(command.gateway.ip, command.gateway.port, max_answer_bytes);
    reply result = absl::UnknownError("no answer");
    asio::co_spawn(context, ask(client, command.query.target(), command.timeout, result),
                   [&result](const std::exception_ptr& error) {
                       if (error != nullptr) {
                           result = absl::InternalError("the question ended by an exception");
                       }
                   });
    context.run();
    return result;
}

} // namespace

exit_code run_explain(const cli::explain_command& command)
{
    const auto place = command.gateway.str();
    const auto got = fetch(command);
    if (!got.ok()) {
        fmt::print(stderr, "{}: the gateway does not answer: {}\n", place,
                   std::string(got.status().message()));
        return exit_code::unreachable;
    }
    const auto answer = parse_json(got->body());
    if (!answer.ok() || !answer->is_object()) {
        fmt::print(stderr, "{}: is no gateway that explains (status {})\n", place,
                   got->result_int());
        return exit_code::failed;
    }
    if (got->result() != http::status::ok) {
        fmt::print(stderr, "{}", describe_refusal(place, *answer));
        return got->result() == http::status::service_unavailable ? exit_code::failed
                                                                  : exit_code::refused;
    }
    if (command.output == cli::explain_command::form::json) {
        fmt::print("{}", got->body());
        return exit_code::ok;
    }
    const auto table = make_table(*answer);
    if (!table) {
        fmt::print(stderr, "{}: the answer is not of this version's form; see --format=json\n",
                   place);
        return exit_code::failed;
    }
    fmt::print("{}", *table);
    return exit_code::ok;
}

} // namespace snipespar::operators
