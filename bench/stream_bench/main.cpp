// Measures streams of completions: time to the first token, time between tokens and requests per
// second. `bench/stream_bench/run` starts the processes and compares direct access to the engine
// with access through entry and agent.

#include "cli/endpoint.h"
#include "cli/value_parsers.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <docopt/docopt.h>
#include <fmt/core.h>
#include <string>
#include <string_view>
#include <vector>

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::steady_clock;

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view token_mark = "\"token_index\":";
constexpr std::string_view end_mark = "data: [DONE]";

constexpr const char* usage = R"(Measures streams of completions.

Usage:
  stream_bench --target=<ip:port> --model=<name> [options]

Options:
  --target=<ip:port>  Entry or engine.
  --model=<name>      Adapter and version.
  --key=<key>         Key sent to an entry.
  --streams=<n>       Concurrent streams [default: 1].
  --rounds=<n>        Consecutive runs of each stream [default: 1].
  --tokens=<n>        Tokens per stream [default: 50].
)";

struct load_plan {
    tcp::endpoint target;
    std::string request;
    long streams = 1;
    long rounds = 1;
    std::size_t tokens = 0;
};

struct samples {
    std::vector<double> first_ms;
    std::vector<double> gap_ms;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
};

std::string make_request(const std::string& model, const std::string& key, long tokens)
{
    const auto body = fmt::format(
        R"({{"model":"{}","prompt":"bench","max_tokens":{},"stream":true,"request_id":"b"}})",
        model, tokens);
    const auto authorization = key.empty() ? "" : fmt::format("Authorization: Bearer {}\r\n", key);
    return fmt::format("POST /v1/completions HTTP/1.1\r\nHost: bench\r\n{}Content-Type: "
                       "application/json\r\nContent-Length: {}\r\n\r\n{}",
                       authorization, body.size(), body);
}

double milliseconds(steady_clock::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

// Records the arrival time of each token of a response.
class token_timer {
public:
    token_timer(steady_clock::time_point sent, samples& results) : last_(sent), results_(results) {}

    void received(std::string_view bytes)
    {
        const auto now = steady_clock::now();
        text_ += bytes;
        auto at = text_.find(token_mark);
        while (at != std::string::npos) {
            auto& list = tokens_++ == 0 ? results_.first_ms : results_.gap_ms;
            list.push_back(milliseconds(now - last_));
            last_ = now;
            text_.erase(0, at + token_mark.size());
            at = text_.find(token_mark);
        }
        ended_ = ended_ || text_.find(end_mark) != std::string::npos;
    }

    bool ended() const { return ended_; }
    std::size_t tokens() const { return tokens_; }

private:
    steady_clock::time_point last_;
    samples& results_;
    std::string text_;
    std::size_t tokens_ = 0;
    bool ended_ = false;
};

// Runs one stream on a new connection; returns whether it completed.
asio::awaitable<bool> run_stream(const load_plan& load, samples& results)
{
    tcp::socket socket(co_await asio::this_coro::executor);
    if (const auto [error] = co_await socket.async_connect(load.target, use_result); error) {
        co_return false;
    }
    boost::system::error_code ignored;
    std::ignore = socket.set_option(tcp::no_delay(true), ignored);
    token_timer clock(steady_clock::now(), results);
    const auto [write_error, sent] =
        co_await asio::async_write(socket, asio::buffer(load.request), use_result);
    std::array<char, 16384> bytes{};
    while (!write_error && !clock.ended()) {
        const auto [error, size] = co_await socket.async_read_some(asio::buffer(bytes), use_result);
        if (error) {
            co_return false;
        }
        const std::string_view received(bytes.data(), size);
        if (received.starts_with("HTTP/1.1 ") && !received.starts_with("HTTP/1.1 200")) {
            co_return false;
        }
        clock.received(received);
    }
    co_return clock.tokens() == load.tokens;
}

asio::awaitable<void> run_rounds(const load_plan& load, samples& results)
{
    for (long i = 0; i < load.rounds; ++i) {
        const bool completed = co_await run_stream(load, results);
        ++(completed ? results.completed : results.failed);
    }
}

double percentile(std::vector<double>& list, double share)
{
    if (list.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(list.size() - 1));
    const auto position = list.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(list.begin(), position, list.end());
    return *position;
}

} // namespace

int main(int argc, char** argv)
{
    auto args = docopt::docopt(usage, {argv + 1, argv + argc});
    const auto target = snipespar::cli::parse_endpoint(args["--target"].asString());
    if (!target.ok()) {
        fmt::print(stderr, "stream_bench: {}\n", std::string(target.status().message()));
        return 2;
    }
    const auto key = args["--key"] ? args["--key"].asString() : std::string();
    load_plan load;
    load.target = {asio::ip::make_address(target->ip), target->port};
    load.streams = args["--streams"].asLong();
    load.rounds = args["--rounds"].asLong();
    load.tokens = static_cast<std::size_t>(args["--tokens"].asLong());
    load.request = make_request(args["--model"].asString(), key, args["--tokens"].asLong());

    samples results;
    asio::io_context context(1);
    for (long i = 0; i < load.streams; ++i) {
        asio::co_spawn(context, run_rounds(load, results), asio::detached);
    }
    const auto start = steady_clock::now();
    context.run();
    const double seconds = milliseconds(steady_clock::now() - start) / 1000;
    constexpr double median = 0.5;
    constexpr double tail = 0.99;
    fmt::print("streams={} whole={} failed={} first_p50_ms={:.3f} first_p99_ms={:.3f} "
               "gap_p50_ms={:.3f} gap_p99_ms={:.3f} requests_per_s={:.0f}\n",
               load.streams, results.completed, results.failed,
               percentile(results.first_ms, median), percentile(results.first_ms, tail),
               percentile(results.gap_ms, median), percentile(results.gap_ms, tail),
               static_cast<double>(results.completed) / seconds);
    return results.failed == 0 ? 0 : 1;
}
