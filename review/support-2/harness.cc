#include "harness.hh"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

const auto started = clock::now();

sockaddr_in to_socket_address(const endpoint& address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string query_value(const std::string& target, const std::string& name)
{
    const auto query = target.find('?');
    if (query == std::string::npos) {
        return {};
    }
    std::string rest = target.substr(query + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto pair = rest.substr(0, end);
        const auto equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name) {
            return equals < pair.size() ? pair.substr(equals + 1) : std::string();
        }
        rest = end == rest.size() ? std::string() : rest.substr(end + 1);
    }
    return {};
}

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(clock::now() - started).count();
}

record::record(const std::string& path)
    : file_(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
{
}

void record::line(const std::string& text)
{
    const std::lock_guard lock(mutex_);
    const auto full = std::to_string(now_ms()) + " ms " + text + "\n";
    std::fputs(full.c_str(), stdout);
    std::fflush(stdout);
    if (file_ >= 0) {
        [[maybe_unused]] const auto written = ::write(file_, full.data(), full.size());
    }
}

endpoint free_endpoint(const std::string& ip)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = to_socket_address({ip, 0});
    ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
    socklen_t size = sizeof address;
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(socket);
    return {ip, ntohs(address.sin_port)};
}

int listen_at(const endpoint& address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto target = to_socket_address(address);
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0 ||
        ::listen(socket, 256) != 0) {
        std::perror(("listen " + address.str()).c_str());
        std::_Exit(2);
    }
    return socket;
}

int connect_to(const endpoint& address, int receive_bytes)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_bytes > 0) {
        ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
    }
    const auto target = to_socket_address(address);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0) {
        ::close(socket);
        return -1;
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

bool send_all(int socket, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

void reset_socket(int socket)
{
    const linger option{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    ::close(socket);
}

std::string message::field(const std::string& name) const
{
    const auto found = fields.find(lower(name));
    return found == fields.end() ? std::string() : found->second;
}

std::string message::method() const
{
    return first_line.substr(0, first_line.find(' '));
}

std::string message::target() const
{
    const auto begin = first_line.find(' ');
    const auto end = first_line.find(' ', begin + 1);
    return first_line.substr(begin + 1, end - begin - 1);
}

bool message_reader::fill()
{
    char bytes[16384];
    const auto count = ::recv(socket_, bytes, sizeof bytes, 0);
    if (count <= 0) {
        return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
}

bool message_reader::read_head(message& result)
{
    result = {};
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!fill()) {
            return false;
        }
    }
    const std::string head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    std::size_t start = head.find("\r\n");
    result.first_line = head.substr(0, start);
    start += 2;
    while (start < head.size()) {
        const auto line_end = head.find("\r\n", start);
        const auto line = head.substr(start, line_end - start);
        const auto colon = line.find(':');
        auto value = colon == std::string::npos ? std::string() : line.substr(colon + 1);
        value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
        result.fields[lower(line.substr(0, colon))] = value;
        start = line_end + 2;
    }
    return true;
}

bool message_reader::read(message& result)
{
    if (!read_head(result)) {
        return false;
    }
    if (lower(result.field("transfer-encoding")) == "chunked") {
        while (true) {
            std::size_t line_end = 0;
            while ((line_end = buffer_.find("\r\n")) == std::string::npos) {
                if (!fill()) {
                    return false;
                }
            }
            const auto size = std::strtoull(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < line_end + 2 + size + 2) {
                if (!fill()) {
                    return false;
                }
            }
            result.body += buffer_.substr(line_end + 2, size);
            buffer_.erase(0, line_end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }
    const auto length = std::strtoull(result.field("content-length").c_str(), nullptr, 10);
    while (buffer_.size() < length) {
        if (!fill()) {
            return false;
        }
    }
    result.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
}

std::string message_reader::take()
{
    std::string taken;
    taken.swap(buffer_);
    return taken;
}

void serve_connections(const endpoint& address, std::function<void(int)> handle)
{
    const int listener = listen_at(address);
    std::thread([listener, handle = std::move(handle)] {
        while (true) {
            const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                continue;
            }
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([socket, handle] { handle(socket); }).detach();
        }
    }).detach();
}

store::store(endpoint address) : address_(std::move(address))
{
    serve_connections(address_, [this](int socket) { serve(socket); });
}

void store::serve(int socket)
{
    message_reader reader(socket);
    message request;
    while (reader.read(request)) {
        {
            const std::lock_guard lock(mutex_);
            if (is_silent_) {
                // Nothing further comes on this channel.
                return;
            }
        }
        if (!send_all(socket, answer(request))) {
            break;
        }
    }
    ::close(socket);
}

void store::set_silent(bool is_silent)
{
    const std::lock_guard lock(mutex_);
    is_silent_ = is_silent;
    changed_.notify_all();
}

std::string store::answer(const message& request)
{
    const auto target = request.target();
    const auto path = target.substr(0, target.find('?'));
    const std::string prefix = "/objects/";
    std::string body = "{}";
    int status = 404;
    if (request.method() == "GET" && path.starts_with(prefix)) {
        const auto kind = path.substr(prefix.size());
        status = 200;
        std::unique_lock lock(mutex_);
        std::string items;
        if (const auto watch = query_value(target, "watch"); !watch.empty()) {
            const auto from = std::strtoull(watch.c_str(), nullptr, 10);
            const auto wait = std::strtoull(query_value(target, "wait_ms").c_str(), nullptr, 10);
            const auto collect = [&] {
                items.clear();
                for (const auto& item : history_) {
                    if (item.revision > from && item.kind == kind) {
                        items += (items.empty() ? "" : ",") + item.text;
                    }
                }
                return !items.empty();
            };
            changed_.wait_for(lock, milliseconds(wait), collect);
            body = "{\"events\":[" + items + "],\"current_rev\":" + std::to_string(revision_) + "}";
        }
        else {
            for (const auto& [name, text] : objects_[kind]) {
                items += (items.empty() ? "" : ",") + text;
            }
            body = "{\"items\":[" + items +
                   "],\"has_more\":false,\"current_rev\":" + std::to_string(revision_) + "}";
        }
    }
    return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Not Found") +
           "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

void store::put(const std::string& kind, const std::string& name, const std::string& spec)
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return !is_silent_; });
    ++revision_;
    const auto revision = std::to_string(revision_);
    const auto text = "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision +
                      ",\"create_revision\":" + revision +
                      ",\"finalizers\":[],\"deleting\":false},\"spec\":" + spec +
                      ",\"status\":null}";
    objects_[kind][name] = text;
    history_.push_back({revision_, kind, "{\"object\":" + text + ",\"removed\":false}"});
    changed_.notify_all();
}

void store::remove(const std::string& kind, const std::string& name)
{
    const std::lock_guard lock(mutex_);
    const auto found = objects_[kind].find(name);
    if (found == objects_[kind].end()) {
        return;
    }
    ++revision_;
    history_.push_back({revision_, kind, "{\"object\":" + found->second + ",\"removed\":true}"});
    objects_[kind].erase(found);
    changed_.notify_all();
}

child::child(const std::vector<std::string>& command, const std::string& log)
{
    const auto parent = ::getpid();
    id_ = ::fork();
    if (id_ != 0) {
        return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
        std::_Exit(2);
    }
    const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    std::vector<char*> arguments;
    for (const auto& word : command) {
        arguments.push_back(const_cast<char*>(word.c_str()));
    }
    arguments.push_back(nullptr);
    ::setenv("SNIPESPAR_NODE_FILE", "/etc/snipespar/settings.toml", 1);
    ::execv(arguments[0], arguments.data());
    std::_Exit(2);
}

void child::signal(int number) const
{
    if (id_ > 0) {
        ::kill(id_, number);
    }
}

bool child::wait(milliseconds limit)
{
    const auto until = clock::now() + limit;
    while (id_ > 0) {
        int status = 0;
        if (::waitpid(id_, &status, WNOHANG) == id_) {
            id_ = -1;
            break;
        }
        if (clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return true;
}

void child::end()
{
    signal(SIGKILL);
    wait(milliseconds(2000));
}

bool wait_until_ready(const endpoint& admin, milliseconds limit)
{
    const auto until = clock::now() + limit;
    while (clock::now() < until) {
        const int socket = connect_to(admin);
        if (socket >= 0) {
            send_all(socket, "GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
            message answer;
            message_reader reader(socket);
            const bool is_read = reader.read_head(answer);
            ::close(socket);
            if (is_read && status_of(answer.first_line) == "200") {
                return true;
            }
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

std::string status_of(const std::string& first_line)
{
    const auto space = first_line.find(' ');
    return space == std::string::npos ? std::string() : first_line.substr(space + 1, 3);
}

} // namespace review
