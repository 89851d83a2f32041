// A worker whose answers have no length and end with their connection. It sends a plain answer in
// two parts, as one whose body is made piece by piece does, and a stream for targets that begin
// with /stream/. After SIGTERM it completes the requests that it has and exits.
//
// usage: unframed_service IP:PORT ID

#include "net.hh"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <thread>

namespace {

constexpr std::size_t part_bytes = 400;
constexpr auto part_pause = std::chrono::milliseconds(600);
constexpr int events = 40;
constexpr auto event_pause = std::chrono::milliseconds(150);

std::string own_id;
std::atomic<int> running = 0;
std::atomic<bool> is_stopping = false;

void say(const std::string& text)
{
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
}

void run(int fd, const peer::request& message)
{
    const auto id = peer::field(message.head, "Request-Id");
    const bool is_stream = message.target.starts_with("/stream/");
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: seal." +
                             id + "\r\nConnection: close\r\n" +
                             (is_stream ? "Content-Type: text/event-stream\r\n\r\n" : "\r\n");
    if (is_stream) {
        say("run " + id);
        bool is_open = peer::send_all(fd, head);
        for (int number = 1; is_open && number <= events; ++number) {
            std::this_thread::sleep_for(event_pause);
            is_open =
                peer::send_all(fd, "id: " + std::to_string(number) + "\ndata: " + id + "\n\n");
        }
        say("run " + id + (is_open ? ": all events sent" : ": its caller has left"));
    }
    else {
        const std::string part(part_bytes, 'x');
        peer::send_all(fd, head + part);
        say("run " + id + ": first half sent");
        std::this_thread::sleep_for(part_pause);
        peer::send_all(fd, part);
        say("run " + id + ": second half sent");
    }
    ::shutdown(fd, SHUT_WR);
}

void serve(int fd)
{
    std::string input;
    const auto message = peer::read_request(fd, input);
    if (message) {
        const auto id = peer::field(message->head, "Request-Id");
        const auto expected = peer::field(message->head, "Expect-Instance");
        if (!expected.empty() && expected != own_id) {
            peer::send_all(fd, peer::sized_answer(421,
                                                  "Request-Id: " + id + "\r\nInstance-Id: " +
                                                      own_id + "\r\nConnection: close\r\n",
                                                  ""));
            ::shutdown(fd, SHUT_WR);
        }
        else {
            ++running;
            run(fd, *message);
            --running;
        }
    }
    // The peer has received all once it closes as well.
    const timeval limit{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    char byte = 0;
    while (::recv(fd, &byte, 1, 0) > 0) {
    }
    ::close(fd);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3) {
        return 2;
    }
    own_id = argv[2];
    std::signal(SIGTERM, [](int) { is_stopping = true; });
    const int listener = peer::listen_on(argv[1]);
    say("listening");
    std::thread([] {
        while (!is_stopping || running > 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        say("exits");
        std::_Exit(0);
    }).detach();
    while (true) {
        const int fd = ::accept(listener, nullptr, nullptr);
        if (fd >= 0) {
            std::thread(serve, fd).detach();
        }
    }
}
