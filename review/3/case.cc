// Case 3, UNASKED: a request whose Transfer-Encoding does not end in `chunked` is taken as one
// without a body. What follows, the body, is read as a request of its own and run by a worker.
#include "lab.hh"

namespace {

using namespace lab;

std::mutex runs_mutex;
std::vector<std::string> runs;

} // namespace

int main()
{
    const settings given;
    record log(given);
    log.line("disruption: %s", given.has_trouble ? "Transfer-Encoding: chunked, identity" : "none");

    const int control_port = free_port("127.0.1.1");
    const address platform{"127.0.3.1", free_port("127.0.3.1")};
    store objects(platform);
    objects.put("config", "main", small_config());
    const address where{"127.0.2.1", free_port("127.0.2.1")};
    server worker(where, [&](int fd, const message& got) {
        const auto id = got.field("Request-Id");
        log.line("worker i-1 runs %s %s, body of %zu bytes", id.c_str(), got.word(1).c_str(),
                 got.body.size());
        {
            const std::lock_guard lock(runs_mutex);
            runs.push_back(id);
        }
        sleep_ms(20);
        return write_all(
            fd,
            http_answer(200, "Request-Id: " + id + "\r\nResponse-Seal: i-1." + id + "\r\n", "{}"));
    });
    objects.put("servers", "i-1", server_entry("desk", where, unix_ms(), 6));
    gateway front(given, platform, control_port, 1);
    if (!front.wait_until_ready(10000)) {
        log.line("the gateway was not ready");
        return exit_not_run;
    }
    sleep_ms(1500);

    // A note whose text is a request; nobody sends that request.
    const auto note = request_text("POST", "/reserve/unit-77", "smuggled", "", "", 3000);
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", note.size());
    const auto chunks = size + note + "\r\n0\r\n\r\n";
    int sent = 0;
    for (int i = 0; i < 3; ++i) {
        const auto id = "sent-" + std::to_string(i);
        const std::string encoding = given.has_trouble ? "chunked, identity" : "chunked";
        const auto head = "POST /reserve/note HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id +
                          "\r\nDeadline-Ms: 3000\r\nAuthorization: Token key-1\r\n"
                          "Transfer-Encoding: " +
                          encoding + "\r\n\r\n";
        client channel(front.listen);
        // `identity` leaves the bytes as they are, so no chunks are to be expected in it.
        const auto answer = channel.call(head + (given.has_trouble ? note : chunks), 3000);
        ++sent;
        log.line("client sent %s with Transfer-Encoding: %s; answered %d", id.c_str(),
                 encoding.c_str(), answer ? answer->status() : 0);
        sleep_ms(300);
    }
    sleep_ms(500);

    const std::lock_guard lock(runs_mutex);
    const auto smuggled = std::count(runs.begin(), runs.end(), "smuggled");
    log.line("requests sent: %d; runs: %zu; runs of a request that was only the body of another: "
             "%ld (one breaks UNASKED)",
             sent, runs.size(), static_cast<long>(smuggled));
    const int result = smuggled > 0 ? exit_broken : exit_held;
    front.process.reset();
    std::fflush(nullptr);
    std::_Exit(result);
}
