// A gateway ends while it passes on an answer without a length. Does what its caller has got look
// complete?

#include "fleet.hh"

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace review;

namespace {

constexpr std::size_t answer_bytes = 8UL * 1024 * 1024;
constexpr int callers = 2;
// A caller takes the whole answer within its time limit.
constexpr std::size_t read_bytes = 128UL * 1024;
constexpr auto read_pause = milliseconds(10);
// The gateway is killed when each caller has got so much.
constexpr std::size_t kill_after_bytes = 512UL * 1024;
constexpr auto longest_wait = milliseconds(1500);
constexpr int caller_buffer_bytes = 64 * 1024;

const std::string config = R"({"version":3,
 "routes":[{"name":"status-read","host":"cartorio.example","path_prefix":"/status/",
  "route_type":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"max_attempts":2,
  "upstream":"cartorio","public":true,"resumable":false}],
 "upstreams":[{"name":"cartorio","health_check":"/health","max_connections":190}],
 "limits":{"max_header_bytes":8192,"max_body_bytes":65536,"header_timeout_ms":3000,
  "idle_timeout_ms":15000},
 "tenants":[]})";

std::string body_of(const std::string& id)
{
    std::string body = "begin " + id + " ";
    body.resize(answer_bytes - 4, 'x');
    return body + " end";
}

// A worker whose answers have no length and end with their channel.
void serve_worker(int socket, const std::string& worker, record& log)
{
    message request;
    message_reader reader(socket);
    if (reader.read(request)) {
        const auto id = request.field("request-id");
        log.line("worker " + worker + " runs " + id + " and answers 200 without a length, " +
                 std::to_string(answer_bytes) + " bytes");
        const bool is_sent = send_all(socket, "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                                                  "\r\nResponse-Seal: " + worker + "." + id +
                                                  "\r\nInstance-Id: " + worker +
                                                  "\r\nConnection: close\r\n\r\n" + body_of(id));
        log.line("worker " + worker + " has sent the answer to " + id +
                 (is_sent ? ", whole" : ", broken off by its peer"));
        ::shutdown(socket, SHUT_WR);
        char byte = 0;
        while (::recv(socket, &byte, 1, 0) > 0) {
        }
    }
    ::close(socket);
}

struct result {
    bool is_success = false;
    bool has_length = false;
    bool ended_in_order = false;
    std::size_t bytes = 0;
    bool is_whole = false;
};

// Reads slowly, but well within the time limit of the request.
result call(const endpoint& gateway, const std::string& id, std::atomic<std::size_t>& received,
            record& log)
{
    result got;
    const int socket = connect_to(gateway, caller_buffer_bytes);
    if (socket < 0) {
        return got;
    }
    log.line("caller sends " + id);
    send_all(socket, "GET /status/" + id + " HTTP/1.1\r\nHost: cartorio.example\r\nRequest-Id: " +
                         id + "\r\nDeadline-Ms: 1500\r\n\r\n");
    message answer;
    message_reader reader(socket);
    if (!reader.read_head(answer)) {
        log.line("caller of " + id + " got no head");
        ::close(socket);
        return got;
    }
    got.is_success = status_of(answer.first_line) == "200";
    got.has_length =
        !answer.field("content-length").empty() || !answer.field("transfer-encoding").empty();
    std::string body = reader.take();
    std::string part(read_bytes, '\0');
    while (true) {
        std::this_thread::sleep_for(read_pause);
        const auto count = ::recv(socket, part.data(), part.size(), 0);
        if (count <= 0) {
            got.ended_in_order = count == 0;
            break;
        }
        body.append(part.data(), static_cast<std::size_t>(count));
        received = body.size();
    }
    ::close(socket);
    got.bytes = body.size();
    got.is_whole = body == body_of(id);
    log.line("caller of " + id + " got: " + answer.first_line + ", seal " +
             answer.field("response-seal") + ", " + (got.has_length ? "with" : "without") +
             " a length, " + std::to_string(got.bytes) + " of " + std::to_string(answer_bytes) +
             " bytes, the channel " + (got.ended_in_order ? "closed in order" : "was reset"));
    return got;
}

} // namespace

int main(int argc, char** argv)
{
    const auto where = read_paths(argc, argv);
    record log(where.record);
    log.line(where.has_trouble ? "with the disruption" : "without the disruption");

    store platform(free_endpoint("127.0.0.1"));
    platform.put("config", "main", config);
    for (int i = 0; i < 2; ++i) {
        const auto name = "w-" + std::to_string(i);
        const auto address = free_endpoint("127.0.2." + std::to_string(i + 1));
        serve_connections(address, [name, &log](int socket) { serve_worker(socket, name, log); });
        platform.put("servers", name, worker_entry("cartorio", address, 6, unix_ms()));
    }
    const int control_port = free_endpoint("127.0.1.1").port;
    std::vector<member> gateways;
    for (int i = 0; i < 2; ++i) {
        gateways.push_back(start_gateway(where, serrana_assina_grown, "front-" + std::to_string(i),
                                         "a", "127.0.1." + std::to_string(i + 1), control_port,
                                         platform.address()));
    }
    for (const auto& gateway : gateways) {
        if (!wait_until_ready(gateway.admin, milliseconds(10000))) {
            log.line("a gateway is not ready: the case could not run");
            return 2;
        }
    }

    std::vector<result> results(callers);
    std::vector<std::atomic<std::size_t>> received(callers);
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] {
            results[static_cast<std::size_t>(i)] =
                call(gateways[0].listen, "status-" + std::to_string(i),
                     received[static_cast<std::size_t>(i)], log);
        });
    }
    if (where.has_trouble) {
        const auto until = clock::now() + longest_wait;
        const auto have_begun = [&] {
            return std::all_of(received.begin(), received.end(),
                               [](const auto& bytes) { return bytes >= kill_after_bytes; });
        };
        while (!have_begun() && clock::now() < until) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        if (!have_begun()) {
            log.line("the answers have not begun: the case could not run");
            std::_Exit(2);
        }
        log.line("SIGKILL to front-0");
        gateways[0].process.end();
    }
    for (auto& thread : threads) {
        thread.join();
    }
    for (auto& gateway : gateways) {
        gateway.process.end();
    }

    int broken = 0;
    for (const auto& got : results) {
        const bool looks_complete = got.is_success && !got.has_length && got.ended_in_order;
        if (looks_complete && !got.is_whole) {
            ++broken;
        }
        if (!where.has_trouble && !got.is_whole) {
            log.line("an answer was not whole without the disruption");
            return 2;
        }
    }
    log.line("answers that ended early and look complete: " + std::to_string(broken) + " of " +
             std::to_string(callers));
    log.line(broken == 0 ? "MIXED held" : "MIXED broken");
    // Detached threads of the stand-ins still refer to the record.
    std::_Exit(broken == 0 ? 0 : 1);
}
