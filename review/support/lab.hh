// Test lab for the review cases: starts the project's programs as child processes and plays
// clients, workers and the platform's store on loopback addresses. Blocking sockets, one thread a
// connection.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace lab {

using nlohmann::json;
using clock_type = std::chrono::steady_clock;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

inline void sleep_ms(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Settings of one run, from the environment that run.sh sets.
struct settings {
    std::string program = getenv_or("SNIPESPAR", "target/snipespar");
    std::string folder = getenv_or("CASE_FOLDER", ".");
    std::string scratch = getenv_or("CASE_SCRATCH", "/tmp");
    bool has_trouble = getenv_or("TROUBLE", "1") != "0";

    static std::string getenv_or(const char* name, const char* fallback)
    {
        const char* value = std::getenv(name);
        return value == nullptr ? fallback : value;
    }
};

// The record of a run: one line an event, with the milliseconds since its start.
class record {
public:
    explicit record(const settings& given)
        : file_(std::fopen((given.folder + "/record.txt").c_str(), "w")), began_(clock_type::now())
    {
        if (file_ == nullptr) {
            std::perror("record.txt");
            std::_Exit(exit_not_run);
        }
    }

    long now_ms() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(clock_type::now() - began_)
            .count();
    }

    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(mutex_);
        std::fprintf(file_, "%6ld ms  ", now_ms());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::FILE* file_;
    clock_type::time_point began_;
    std::mutex mutex_;
};

// A program that runs until it is ended; its output goes to a file.
class child {
public:
    child(const std::vector<std::string>& words, const std::string& log)
    {
        std::vector<char*> arguments;
        for (const auto& word : words) {
            arguments.push_back(const_cast<char*>(word.c_str()));
        }
        arguments.push_back(nullptr);
        id_ = ::fork();
        if (id_ == 0) {
            // Ends with the lab, whatever ends that.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(file, STDOUT_FILENO);
            ::dup2(file, STDERR_FILENO);
            ::execv(arguments[0], arguments.data());
            std::_Exit(127);
        }
    }
    child(const child&) = delete;
    child& operator=(const child&) = delete;
    ~child()
    {
        kill(SIGKILL);
        wait();
    }

    pid_t id() const { return id_; }
    void kill(int signal) const
    {
        if (!status_) {
            ::kill(id_, signal);
        }
    }

    // The wait status if the program has ended by now.
    std::optional<int> ended()
    {
        int status = 0;
        if (!status_ && ::waitpid(id_, &status, WNOHANG) == id_) {
            status_ = status;
        }
        return status_;
    }

    void wait()
    {
        int status = 0;
        if (!status_ && ::waitpid(id_, &status, 0) == id_) {
            status_ = status;
        }
    }

private:
    pid_t id_ = -1;
    std::optional<int> status_;
};

struct address {
    std::string ip;
    int port = 0;
    std::string str() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in to_sockaddr(const address& where)
{
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_port = htons(static_cast<std::uint16_t>(where.port));
    ::inet_pton(AF_INET, where.ip.c_str(), &raw.sin_addr);
    return raw;
}

// A port that nothing uses on the given address.
inline int free_port(const std::string& ip)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    auto raw = to_sockaddr({ip, 0});
    ::bind(fd, reinterpret_cast<sockaddr*>(&raw), sizeof raw);
    socklen_t size = sizeof raw;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&raw), &size);
    ::close(fd);
    return ntohs(raw.sin_port);
}

inline bool write_all(int fd, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Reads some bytes; empty if the peer has closed, reset or sent nothing in time.
inline std::string read_some(int fd, int timeout_ms)
{
    pollfd item{fd, POLLIN, 0};
    if (::poll(&item, 1, timeout_ms) <= 0) {
        return {};
    }
    char buffer[16384];
    const auto count = ::recv(fd, buffer, sizeof buffer, 0);
    return count <= 0 ? std::string() : std::string(buffer, static_cast<std::size_t>(count));
}

inline std::string lower(std::string text)
{
    for (auto& c : text) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

// A parsed request or response.
struct message {
    std::string first_line;
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;

    std::string field(const std::string& name) const
    {
        const auto found = fields.find(lower(name));
        return found == fields.end() ? std::string() : found->second;
    }
    std::string word(int number) const
    {
        std::size_t start = 0;
        for (; number > 0 && start != std::string::npos; --number) {
            start = first_line.find(' ', start);
            start = start == std::string::npos ? start : start + 1;
        }
        return start == std::string::npos
                   ? std::string()
                   : first_line.substr(start, first_line.find(' ', start) - start);
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

// Reads whole messages from a connection.
class reader {
public:
    explicit reader(int fd) : fd_(fd) {}

    // The next request, or response with a length, in chunks or up to the end of the connection;
    // nothing if the connection ends before the message or the time is up.
    std::optional<message> next(bool is_response, int timeout_ms)
    {
        const auto until = clock_type::now() + std::chrono::milliseconds(timeout_ms);
        message result;
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until)) {
                return std::nullopt;
            }
        }
        parse_head(buffer_.substr(0, end), result);
        buffer_.erase(0, end + 4);
        if (lower(result.field("Transfer-Encoding")) == "chunked") {
            return read_chunks(result, until) ? std::optional(result) : std::nullopt;
        }
        const auto length = result.field("Content-Length");
        const int status = is_response ? result.status() : 0;
        if (length.empty() && is_response && status >= 200 && status != 204 && status != 304) {
            while (fill(until)) {
            }
            result.body = std::exchange(buffer_, {});
            return result;
        }
        const auto wanted = static_cast<std::size_t>(std::atol(length.c_str()));
        while (buffer_.size() < wanted) {
            if (!fill(until)) {
                return std::nullopt;
            }
        }
        result.body = buffer_.substr(0, wanted);
        buffer_.erase(0, wanted);
        return result;
    }

    // Whether the peer has ended the connection (as opposed to being silent).
    bool is_ended() const { return is_ended_; }

private:
    bool fill(clock_type::time_point until)
    {
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(until - clock_type::now())
                .count();
        pollfd item{fd_, POLLIN, 0};
        if (left <= 0 || ::poll(&item, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char bytes[16384];
        const auto count = ::recv(fd_, bytes, sizeof bytes, 0);
        if (count <= 0) {
            is_ended_ = true;
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    static void parse_head(const std::string& head, message& result)
    {
        std::size_t start = head.find("\r\n");
        result.first_line = head.substr(0, start);
        while (start != std::string::npos) {
            start += 2;
            const auto end = head.find("\r\n", start);
            const auto line = head.substr(start, end == std::string::npos ? end : end - start);
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                auto value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                result.fields[lower(line.substr(0, colon))] = value;
            }
            start = end;
        }
    }

    bool read_chunks(message& result, clock_type::time_point until)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = buffer_.find("\r\n")) == std::string::npos) {
                if (!fill(until)) {
                    return false;
                }
            }
            const auto size = std::strtoul(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < end + 2 + size + 2) {
                if (!fill(until)) {
                    return false;
                }
            }
            result.body += buffer_.substr(end + 2, size);
            buffer_.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    int fd_;
    std::string buffer_;
    bool is_ended_ = false;
};

// A connection of a client.
class client {
public:
    explicit client(const address& peer) : fd_(::socket(AF_INET, SOCK_STREAM, 0)), reader_(fd_)
    {
        const auto raw = to_sockaddr(peer);
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        is_connected_ = ::connect(fd_, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) == 0;
    }
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    ~client() { ::close(fd_); }

    bool is_connected() const { return is_connected_; }
    bool is_ended() const { return reader_.is_ended(); }
    bool send(const std::string& bytes) { return is_connected_ && write_all(fd_, bytes); }
    std::optional<message> response(int timeout_ms) { return reader_.next(true, timeout_ms); }

    std::optional<message> call(const std::string& bytes, int timeout_ms)
    {
        return send(bytes) ? response(timeout_ms) : std::nullopt;
    }

private:
    int fd_;
    reader reader_;
    bool is_connected_ = false;
};

// A server that calls a handler for each request; the handler returns whether the connection stays.
class server {
public:
    using handler = std::function<bool(int fd, const message& request)>;

    server(const address& listen, handler handle) : handle_(std::move(handle))
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto raw = to_sockaddr(listen);
        if (::bind(fd_, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) != 0 ||
            ::listen(fd_, 256) != 0) {
            std::perror("listen");
            std::_Exit(exit_not_run);
        }
        std::thread([this] { accept_all(); }).detach();
    }

private:
    void accept_all()
    {
        while (true) {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] {
                reader requests(fd);
                while (const auto request = requests.next(false, 120000)) {
                    if (!handle_(fd, *request)) {
                        break;
                    }
                }
                ::close(fd);
            }).detach();
        }
    }

    int fd_ = -1;
    handler handle_;
};

inline std::string http_answer(int status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The platform's store: objects by kind and name, lists and watches.
class store {
public:
    explicit store(const address& listen)
        : server_(listen, [this](int fd, const message& request) { return handle(fd, request); })
    {
    }

    void put(const std::string& kind, const std::string& name, const json& spec)
    {
        put_text(kind, name, spec.dump());
    }

    // Stores what a writer sent for `spec`, byte for byte.
    void put_text(const std::string& kind, const std::string& name, const std::string& spec)
    {
        const std::lock_guard lock(mutex_);
        ++revision_;
        objects_[kind][name] = {revision_, spec, false};
    }

    void remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(mutex_);
        ++revision_;
        objects_[kind][name] = {revision_, "null", true};
    }

private:
    struct object {
        long revision = 0;
        std::string spec;
        bool is_removed = false;
    };

    static std::string text_of(const std::string& name, const object& item)
    {
        return "{\"metadata\":{\"name\":" + json(name).dump() +
               ",\"revision\":" + std::to_string(item.revision) +
               ",\"create_revision\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" +
               item.spec + ",\"status\":{}}";
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        const auto query = target.find('?');
        if (query == std::string::npos) {
            return {};
        }
        const auto text = "&" + target.substr(query + 1);
        const auto found = text.find("&" + name + "=");
        if (found == std::string::npos) {
            return {};
        }
        const auto start = found + name.size() + 2;
        return text.substr(start, text.find('&', start) - start);
    }

    bool handle(int fd, const message& request)
    {
        const auto target = request.word(1);
        const auto path = target.substr(0, target.find('?'));
        const std::string prefix = "/objects/";
        if (request.word(0) != "GET" || path.rfind(prefix, 0) != 0) {
            return write_all(fd, http_answer(404, "", "{}"));
        }
        const auto kind = path.substr(prefix.size());
        const auto watch = parameter(target, "watch");
        const auto json_type = std::string("Content-Type: application/json\r\n");
        if (watch.empty()) {
            return write_all(fd, http_answer(200, json_type, list(kind)));
        }
        const auto wait = std::atol(parameter(target, "wait_ms").c_str());
        const auto until = clock_type::now() + std::chrono::milliseconds(wait);
        std::string events;
        while ((events = changes(kind, std::atol(watch.c_str()))).empty() &&
               clock_type::now() < until) {
            sleep_ms(5);
        }
        std::string body;
        {
            const std::lock_guard lock(mutex_);
            body =
                "{\"events\":[" + events + "],\"current_rev\":" + std::to_string(revision_) + "}";
        }
        return write_all(fd, http_answer(200, json_type, body));
    }

    std::string list(const std::string& kind)
    {
        const std::lock_guard lock(mutex_);
        std::string items;
        for (const auto& [name, item] : objects_[kind]) {
            if (!item.is_removed) {
                items += (items.empty() ? "" : ",") + text_of(name, item);
            }
        }
        return "{\"items\":[" + items +
               "],\"has_more\":false,\"current_rev\":" + std::to_string(revision_) + "}";
    }

    std::string changes(const std::string& kind, long since)
    {
        const std::lock_guard lock(mutex_);
        std::map<long, std::string> found;
        for (const auto& [name, item] : objects_[kind]) {
            if (item.revision > since) {
                found[item.revision] = "{\"object\":" + text_of(name, item) +
                                       ",\"removed\":" + (item.is_removed ? "true" : "false") + "}";
            }
        }
        std::string events;
        for (const auto& [revision, event] : found) {
            events += (events.empty() ? "" : ",") + event;
        }
        return events;
    }

    std::mutex mutex_;
    long revision_ = 1;
    std::map<std::string, std::map<std::string, object>> objects_;
    server server_;
};

inline long unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Routes, services and one tenant like those of a small deployment.
inline json small_config()
{
    return json::parse(R"({
        "version": 3,
        "routes": [
            {"name": "blurb", "host": "a.example", "path_prefix": "/blurb/",
             "route_type": "streaming", "timeout_ms": 5000, "target_latency_ms": 600,
             "priority": 0, "max_attempts": 2, "upstream": "llm", "public": false,
             "resumable": true, "gap_aim_ms": 400, "sticky": true},
            {"name": "reserve", "host": "a.example", "path_prefix": "/reserve/",
             "route_type": "unsafe", "timeout_ms": 4000, "target_latency_ms": 300,
             "priority": 2, "max_attempts": 2, "upstream": "desk", "public": false},
            {"name": "check", "host": "a.example", "path_prefix": "/check/",
             "route_type": "safe", "timeout_ms": 4000, "target_latency_ms": 300,
             "priority": 2, "max_attempts": 2, "upstream": "desk", "public": false}],
        "upstreams": [
            {"name": "llm", "health_check": "/health", "max_connections": 370,
             "engine": {"slots": 64, "kv_capacity": 244427, "adapter_slots": 16,
                        "models": [{"name": "m0", "weights_mb": 65100, "load_s": 1.9,
                                    "adapters": 3000, "adapter_mb": 12}]}},
            {"name": "desk", "health_check": "/health", "max_connections": 110}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "shops", "api_keys": ["key-1"], "priority": 1, "plain_tokens": 200,
                     "rate_per_s": 1000000, "burst": 1000000}]})");
}

inline json server_entry(const std::string& service, const address& where, long born, int slots)
{
    return {
        {"upstream", service},   {"address", where.str()}, {"zone", "luzon-a"}, {"version", "v1"},
        {"slots", slots},        {"state", "ready"},       {"seq", 1},          {"born", born},
        {"cold_remaining_ms", 0}};
}

// One gateway with the command of the deploy file.
struct gateway {
    address listen;
    address admin;
    std::vector<std::string> words;
    std::string log;
    std::unique_ptr<child> process;

    gateway(const settings& given, const address& platform, int control_port, int number)
    {
        const auto ip = "127.0.1." + std::to_string(number);
        listen = {ip, free_port(ip)};
        admin = {ip, free_port(ip)};
        log = given.scratch + "/gateway-" + std::to_string(number) + ".log";
        words = {given.program,
                 "gateway",
                 "--listen=" + listen.str(),
                 "--admin-listen=" + admin.str(),
                 "--control-listen=" + ip + ":" + std::to_string(control_port),
                 "--platform=" + platform.str(),
                 "--host=front-" + std::to_string(number),
                 "--failure-domain=luzon-a",
                 "--leave-bound=2000ms",
                 "--retry-ratio=0.2",
                 "--retry-slack=58"};
        start();
    }

    void start() { process = std::make_unique<child>(words, log); }

    bool is_ready() const
    {
        client probe(admin);
        const auto answer = probe.call("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 1000);
        return answer && answer->status() == 200;
    }

    bool wait_until_ready(int timeout_ms) const
    {
        const auto until = clock_type::now() + std::chrono::milliseconds(timeout_ms);
        while (clock_type::now() < until) {
            if (is_ready()) {
                return true;
            }
            sleep_ms(50);
        }
        return false;
    }
};

inline std::string request_text(const std::string& method, const std::string& path,
                                const std::string& id, const std::string& fields,
                                const std::string& body, int deadline_ms)
{
    return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id +
           "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
           "\r\nAuthorization: Token key-1\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace lab
