// Stand-ins and process control for the scripts of the second review: the platform's store, plain
// services, callers, and the project's own programs as separate processes. POSIX sockets only, so
// that a test controls each byte and each close.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Milliseconds since the program has started.
std::int64_t now_ms();

/// Writes lines to the record of the test and to standard output.
class record {
public:
    explicit record(const std::string& path);
    void line(const std::string& text);

private:
    std::mutex mutex_;
    int file_ = -1;
};

/// A loopback address with a port that was free a moment ago.
struct endpoint {
    std::string ip;
    int port = 0;
    std::string str() const { return ip + ":" + std::to_string(port); }
};
endpoint free_endpoint(const std::string& ip);

int listen_at(const endpoint& address);
/// Connects; `receive_bytes` is the size of the receive buffer, 0 for the system's choice.
int connect_to(const endpoint& address, int receive_bytes = 0);
bool send_all(int socket, const std::string& bytes);
/// Closes with a reset.
void reset_socket(int socket);

/// Head and body of an HTTP message.
struct message {
    std::string first_line;
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;
    std::string field(const std::string& name) const;
    std::string method() const;
    std::string target() const;
};

/// Reads messages from one connection.
class message_reader {
public:
    explicit message_reader(int socket) : socket_(socket) {}
    /// Reads one message with a length or in chunks. False at the end of the connection.
    bool read(message& result);
    /// Reads only the head; what follows stays for `take`.
    bool read_head(message& result);
    std::string take();

private:
    bool fill();
    int socket_;
    std::string buffer_;
};

/// The platform's store: list, watch, create, replace and remove.
class store {
public:
    explicit store(endpoint address);
    const endpoint& address() const { return address_; }
    /// Returns when the store has accepted the change, which it does not while it is silent.
    void put(const std::string& kind, const std::string& name, const std::string& spec);
    void remove(const std::string& kind, const std::string& name);
    /// While it is silent, the store answers nothing, and what it is asked is lost.
    void set_silent(bool is_silent);

private:
    struct event {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text;
    };
    void serve(int socket);
    std::string answer(const message& request);
    endpoint address_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool is_silent_ = false;
    std::uint64_t revision_ = 1;
    std::map<std::string, std::map<std::string, std::string>> objects_;
    std::vector<event> history_;
};

/// A server that handles each connection in a thread of its own.
void serve_connections(const endpoint& address, std::function<void(int)> handle);

/// A process that the test has started. It is killed with the test.
class child {
public:
    child() = default;
    child(const std::vector<std::string>& command, const std::string& log);
    void signal(int number) const;
    /// Waits for the end, at most so long. True if it has ended.
    bool wait(milliseconds limit);
    pid_t id() const { return id_; }
    void end();

private:
    pid_t id_ = -1;
};

/// Whether the readiness address answers 200 within the limit.
bool wait_until_ready(const endpoint& admin, milliseconds limit);

std::string status_of(const std::string& first_line);

} // namespace review
