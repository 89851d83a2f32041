// Case 1, LOST: a worker answers one request with bytes that are no response (a head whose
// Content-Length is rubbish). The gateway ends by an uncaught exception and takes the requests
// along that sound workers were running for other clients.
#include "lab.hh"

#include <set>

namespace {

using namespace lab;

constexpr int clients = 12;
constexpr int work_ms = 250;
constexpr int lost_allowed = 3;

// What happened to one request.
struct fate {
    std::string worker;
    bool is_answered = false;
    bool is_channel_closed = false;
};

std::mutex fates_mutex;
std::map<std::string, fate> fates;
std::atomic<bool> spoils_next{false};
std::atomic<bool> is_over{false};

} // namespace

int main()
{
    const settings given;
    record log(given);
    log.line("disruption: %s", given.has_trouble ? "one spoilt answer" : "none");

    const int control_port = free_port("127.0.1.1");
    const address platform{"127.0.3.1", free_port("127.0.3.1")};
    store objects(platform);
    objects.put("config", "main", small_config());

    std::vector<std::unique_ptr<server>> workers;
    for (int i = 1; i <= 3; ++i) {
        const auto ip = "127.0.2." + std::to_string(i);
        const address where{ip, free_port(ip)};
        const auto id = "i-" + std::to_string(i);
        const bool is_faulty = i == 3;
        workers.push_back(std::make_unique<server>(where, [&log, id,
                                                           is_faulty](int fd, const message& got) {
            const auto request = got.field("Request-Id");
            log.line("worker %s%s runs %s", id.c_str(), is_faulty ? " (the faulty one)" : "",
                     request.c_str());
            {
                const std::lock_guard lock(fates_mutex);
                fates[request].worker = id;
            }
            sleep_ms(work_ms);
            const auto fields =
                "Request-Id: " + request + "\r\nResponse-Seal: " + id + "." + request + "\r\n";
            if (is_faulty && spoils_next.exchange(false)) {
                log.line("worker %s answers %s with a spoilt head", id.c_str(), request.c_str());
                write_all(fd, "HTTP/1.1 200 OK\r\n" + fields +
                                  "Content-Length: 1000000000000000000\r\n\r\n{}");
                sleep_ms(500);
                return false;
            }
            return write_all(fd, http_answer(200, fields, "{\"reserved\":\"" + request + "\"}"));
        }));
        objects.put("servers", id, server_entry("desk", where, unix_ms(), 6));
    }

    gateway front(given, platform, control_port, 1);
    if (!front.wait_until_ready(10000)) {
        log.line("the gateway was not ready");
        return exit_not_run;
    }

    std::vector<std::thread> callers;
    for (int i = 0; i < clients; ++i) {
        callers.emplace_back([&, i] {
            client channel(front.listen);
            for (int number = 0; !is_over; ++number) {
                const auto id = "r-" + std::to_string(i) + "-" + std::to_string(number);
                log.line("client %d sends %s on its kept channel", i, id.c_str());
                const auto answer = channel.call(
                    request_text("POST", "/reserve/unit", id, "", "{\"unit\":1}", 4000), 4500);
                const std::lock_guard lock(fates_mutex);
                if (!answer) {
                    fates[id].is_channel_closed = channel.is_ended();
                    log.line("client %d: %s without an answer to %s", i,
                             channel.is_ended() ? "channel closed" : "silence", id.c_str());
                    return;
                }
                fates[id].is_answered = true;
                log.line("client %d: %s answered %d", i, id.c_str(), answer->status());
            }
        });
    }

    // Longer than contact_ms without any disruption.
    sleep_ms(5000);
    spoils_next = given.has_trouble;
    sleep_ms(4000);
    is_over = true;
    for (auto& caller : callers) {
        caller.join();
    }

    if (const auto status = front.process->ended()) {
        log.line("the gateway has ended by itself: %s %d", WIFSIGNALED(*status) ? "signal" : "exit",
                 WIFSIGNALED(*status) ? WTERMSIG(*status) : WEXITSTATUS(*status));
    }
    int answered = 0;
    int lost = 0;
    for (const auto& [id, seen] : fates) {
        answered += seen.is_answered ? 1 : 0;
        const bool is_at_sound_worker = seen.worker == "i-1" || seen.worker == "i-2";
        if (is_at_sound_worker && seen.is_channel_closed && !seen.is_answered) {
            ++lost;
        }
    }
    log.line("answered: %d; passed on to a sound worker and channel closed without an answer: %d "
             "(more than %d break LOST)",
             answered, lost, lost_allowed);
    if (answered < clients * 5) {
        log.line("too few answers for a judgement");
        return exit_not_run;
    }
    const int result = lost > lost_allowed ? exit_broken : exit_held;
    front.process.reset();
    std::fflush(nullptr);
    std::_Exit(result);
}
