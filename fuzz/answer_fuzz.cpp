// Feeds an upstream's bytes whole to Beast's own body and in pieces to the body that the gateway
// reads into, with and without its check of heads. Header and body are the same, and the check
// depends on no piece and lets nothing through that the parser refuses; what is decoded stays
// within its bounds, and the forwarded fields are read by a caller as fields only.

#include "beast_assertions.h"

#include "fuzz_input.h"
#include "net/growing_body.h"
#include "net/response_feed.h"
#include "platform/call_codec.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace {

namespace fuzz = snipespar::fuzz;
namespace gateway = snipespar::gateway;
namespace http = boost::beast::http;

constexpr std::uint64_t max_body_bytes = 1024ULL * 1024;
constexpr std::uint32_t max_header_bytes = 64 * 1024;

// Gives bytes to the parser as they are.
struct unchecked_feed {
    static std::size_t put(http::basic_parser<false>& parser, std::string_view input,
                           boost::system::error_code& error)
    {
        parser.eager(true);
        return parser.put(boost::asio::buffer(input), error);
    }
};

// Reads one response from a connection that the upstream closes behind the bytes.
template <class Body, class Feed = unchecked_feed>
class response_reader {
public:
    response_reader()
    {
        parser_.header_limit(max_header_bytes);
        parser_.body_limit(max_body_bytes);
    }

    void feed(std::string_view bytes)
    {
        input_.append(bytes);
        while (!input_.empty() && !has_failed_ && !parser_.is_done()) {
            boost::system::error_code error;
            const auto used = feed_.put(parser_, input_, error);
            input_.erase(0, used);
            has_failed_ = error && error != http::error::need_more;
            if (used == 0 || error) {
                return;
            }
        }
    }

    void end()
    {
        if (!has_failed_ && parser_.is_header_done() && !parser_.is_done()) {
            boost::system::error_code error;
            parser_.put_eof(error);
            has_failed_ = static_cast<bool>(error);
        }
    }

    bool has_failed() const { return has_failed_; }
    bool is_done() const { return parser_.is_done() && !has_failed_; }
    bool has_header() const { return parser_.is_header_done(); }
    const auto& message() const { return parser_.get(); }

private:
    http::response_parser<Body> parser_;
    Feed feed_;
    std::string input_;
    bool has_failed_ = false;
};

void check_bounds(const gateway::answer_header& answer)
{
    constexpr auto max_retry_after = std::chrono::hours(1);
    constexpr double max_rate_per_s = 1e6;
    fuzz::require(!answer.retry_after ||
                  (answer.retry_after->count() >= 0 && *answer.retry_after <= max_retry_after));
    fuzz::require(!answer.rate_limit ||
                  (*answer.rate_limit >= 0 && *answer.rate_limit <= max_rate_per_s));
    fuzz::require(!(answer.rate_limit && answer.has_invalid_rate_limit));
}

// Compares what the check lets through with what the parser alone reads.
void check_head_check(const fuzz::cut_text& input,
                      const response_reader<http::string_body>& unchecked)
{
    using checked_reader = response_reader<http::string_body, snipespar::net::response_feed>;
    checked_reader whole;
    whole.feed(input.text());
    whole.end();
    checked_reader in_pieces;
    input.each_piece([&](std::string_view piece) { in_pieces.feed(piece); });
    in_pieces.end();
    fuzz::require(in_pieces.is_done() == whole.is_done());
    if (whole.is_done()) {
        fuzz::require(unchecked.is_done());
        fuzz::require(whole.message().body() == unchecked.message().body());
        fuzz::require(in_pieces.message().body() == unchecked.message().body());
        fuzz::require(whole.message().result_int() >= 100 && whole.message().result_int() <= 599);
    }
}

void check_forwarded(const gateway::answer_header& answer)
{
    response_reader<http::string_body> reader;
    reader.feed("HTTP/1.1 200 OK\r\n" + answer.forwarded_header + "Content-Length: 1\r\n\r\nx");
    fuzz::require(reader.is_done() && reader.message().body() == "x");
    fuzz::require(reader.message().count(http::field::transfer_encoding) == 0);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const fuzz::cut_text input(fuzz::to_text(data, size));
    response_reader<http::string_body> whole;
    whole.feed(input.text());
    whole.end();
    response_reader<snipespar::net::growing_body> reader;
    input.each_piece([&](std::string_view piece) { reader.feed(piece); });
    reader.end();
    fuzz::require(reader.is_done() == whole.is_done());
    check_head_check(input, whole);
    if (reader.has_header()) {
        const auto answer = snipespar::platform::decode_answer(reader.message());
        check_bounds(answer);
        check_forwarded(answer);
        if (whole.is_done()) {
            fuzz::require(answer == snipespar::platform::decode_answer(whole.message()));
            fuzz::require(reader.message().body() == whole.message().body());
        }
    }
    return 0;
}
