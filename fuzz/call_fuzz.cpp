// Feeds a caller's bytes to the parser whole and in pieces. The call is the same, and its attempt
// is read by an upstream as exactly one request: with the same target, body and request id, and
// with the fields that the gateway sets.

#include "beast_assertions.h"

#include "fuzz_input.h"
#include "gateway/caller_limits.h"
#include "platform/call_codec.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace {

namespace fuzz = snipespar::fuzz;
namespace gateway = snipespar::gateway;
namespace http = boost::beast::http;
using request_parser = http::request_parser<http::string_body>;

constexpr std::uint32_t max_attempt_header_bytes = 64 * 1024;

// Reads one request as a caller's connection does.
class request_reader {
public:
    explicit request_reader(std::uint32_t max_header_bytes)
    {
        parser_.header_limit(max_header_bytes);
        parser_.body_limit(gateway::caller_limits{}.max_body_bytes);
        parser_.eager(true);
    }

    void feed(std::string_view bytes)
    {
        input_.append(bytes);
        while (!input_.empty() && !has_failed_ && !parser_.is_done()) {
            boost::system::error_code error;
            const auto used = parser_.put(boost::asio::buffer(input_), error);
            input_.erase(0, used);
            has_failed_ = error && error != http::error::need_more;
            if (used == 0 || error) {
                return;
            }
        }
    }

    bool is_done() const { return parser_.is_done() && !has_failed_; }
    /// Bytes behind the request.
    const std::string& rest() const { return input_; }
    http::request<http::string_body> release() { return parser_.release(); }

private:
    request_parser parser_;
    std::string input_;
    bool has_failed_ = false;
};

std::size_t count(const http::request<http::string_body>& message, const char* name)
{
    return message.count(boost::beast::string_view(name));
}

void check_attempt(const gateway::call& call)
{
    gateway::attempt_header attempt;
    attempt.upstream = snipespar::upstream_id("i-1");
    attempt.team = snipespar::team_id("shops");
    attempt.time_left = std::chrono::seconds(1);
    attempt.last_event = call.last_event;
    attempt.urgency = 2;
    request_reader reader(max_attempt_header_bytes);
    reader.feed(snipespar::platform::encode_attempt(call, attempt) + call.body);
    fuzz::require(reader.is_done() && reader.rest().empty());
    const auto message = reader.release();
    fuzz::require(std::string(message.method_string()) == call.method);
    fuzz::require(std::string(message.target()) == call.target);
    fuzz::require(message.body() == call.body);
    fuzz::require(snipespar::platform::request_id_of(message) == call.request_id);
    fuzz::require(count(message, "Expect-Instance") == 1 && message["Expect-Instance"] == "i-1");
    fuzz::require(count(message, "Host") == 1 && count(message, "Request-Id") == 1);
    fuzz::require(count(message, "Tenant") == 1 && message["Tenant"] == "shops");
    fuzz::require(count(message, "Transfer-Encoding") == 0 && count(message, "Authorization") == 0);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const fuzz::cut_text input(fuzz::to_text(data, size));
    const auto limit = gateway::caller_limits{}.max_header_bytes;
    request_reader whole(limit);
    whole.feed(input.text());
    request_reader reader(limit);
    input.each_piece([&](std::string_view piece) { reader.feed(piece); });
    fuzz::require(reader.is_done() == whole.is_done());
    if (!reader.is_done()) {
        return 0;
    }
    fuzz::require(reader.rest() == whole.rest());
    const auto expected = snipespar::platform::decode_call(whole.release());
    const auto call = snipespar::platform::decode_call(reader.release());
    fuzz::require(call.ok() == expected.ok());
    if (call.ok()) {
        fuzz::require(*call == *expected);
        check_attempt(*call);
    }
    return 0;
}
