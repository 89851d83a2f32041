// Requesters that each hold one stream, on adapters of their own.
//
// usage: streams IP:PORT SECONDS ADAPTER...
//
// Each asks for `base/ADAPTER` until it gets a stream, and again after a failure or a promise that
// it has not run, as its pages allow; each attempt has an id of its own. Prints what each attempt
// got.

#include "net.hh"

#include <cstdio>
#include <mutex>
#include <thread>
#include <vector>

namespace {

std::mutex output;

void hold(const std::string& address, const std::string& adapter, std::int64_t until)
{
    for (int attempt = 1; peer::now_ms() < until; ++attempt) {
        const auto id = adapter + "-" + std::to_string(::getpid()) + "-" + std::to_string(attempt);
        const int fd = peer::connect_to(address);
        std::string head = "no connection";
        std::size_t bytes = 0;
        if (fd >= 0) {
            const timeval limit{0, 200000};
            ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
            peer::send_all(fd, peer::plain_request("POST", "/stream/x",
                                                   "Host: a.example\r\nRequest-Id: " + id +
                                                       "\r\nDeadline-Ms: 60000\r\n"
                                                       "Authorization: Token key-1\r\n"
                                                       "Model: base/" +
                                                       adapter + "\r\nToken-Count: 100,3000\r\n",
                                                   "x"));
            char buffer[4096];
            std::string input;
            bool is_refused = false;
            while (peer::now_ms() < until && !is_refused) {
                const auto count = ::recv(fd, buffer, sizeof(buffer), 0);
                if (count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
                    break;
                }
                if (count > 0) {
                    input.append(buffer, static_cast<std::size_t>(std::min<long>(count, 200)));
                    bytes += static_cast<std::size_t>(count);
                    is_refused = input.size() > 12 && input.substr(9, 3) != "200";
                }
            }
            head = input.substr(0, input.find("\r\n"));
            ::close(fd);
        }
        const std::lock_guard lock(output);
        std::printf("%s: %s, %zu bytes\n", id.c_str(), head.c_str(), bytes);
        std::fflush(stdout);
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4) {
        return 2;
    }
    const auto until = peer::now_ms() + 1000 * std::stol(argv[2]);
    std::vector<std::thread> callers;
    for (int i = 3; i < argc; ++i) {
        callers.emplace_back(hold, std::string(argv[1]), std::string(argv[i]), until);
    }
    for (auto& caller : callers) {
        caller.join();
    }
}
