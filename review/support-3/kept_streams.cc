// Requesters that ask for one stream after the other, each on a connection that it keeps.
//
// usage: kept_streams IP:PORT SECONDS REQUESTERS
//
// Prints what each request got.

#include "net.hh"

#include <cstdio>
#include <mutex>
#include <thread>
#include <vector>

namespace {

std::mutex output;

void ask(const std::string& address, int caller, std::int64_t until)
{
    int fd = -1;
    for (int number = 1; peer::now_ms() < until; ++number) {
        const bool is_kept = fd >= 0;
        if (fd < 0) {
            fd = peer::connect_to(address);
        }
        if (fd < 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            continue;
        }
        const auto id = "s" + std::to_string(caller) + "-" + std::to_string(number);
        const auto reply = peer::exchange(
            fd, peer::plain_request("POST", "/stream/x",
                                    "Host: a.example\r\nRequest-Id: " + id +
                                        "\r\nDeadline-Ms: 12000\r\nAuthorization: Token key-1\r\n",
                                    "x"));
        {
            const std::lock_guard lock(output);
            std::size_t events = 0;
            for (auto at = reply.body.find("id: "); at != std::string::npos;
                 at = reply.body.find("id: ", at + 1)) {
                ++events;
            }
            std::printf("%s: kept=%s status=%d events=%zu end=\"%s\" complete=%s\n", id.c_str(),
                        is_kept ? "yes" : "no", reply.status, events, reply.end.c_str(),
                        reply.is_complete ? "yes" : "no");
            std::fflush(stdout);
        }
        if (reply.end != "open" || peer::field(reply.head, "Connection") == "close") {
            ::close(fd);
            fd = -1;
        }
        if (reply.status != 200) {
            std::this_thread::sleep_for(std::chrono::milliseconds(300));
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4) {
        return 2;
    }
    const auto until = peer::now_ms() + 1000 * std::stol(argv[2]);
    std::vector<std::thread> callers;
    for (int i = 0; i < std::stoi(argv[3]); ++i) {
        callers.emplace_back(ask, std::string(argv[1]), i, until);
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    for (auto& caller : callers) {
        caller.join();
    }
}
