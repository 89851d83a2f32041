// Blocking sockets and HTTP/1.1 for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <string>
#include <string_view>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace peer {

inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline sockaddr_in to_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

// Returns -1 if nobody listens there.
inline int connect_to(const std::string& text)
{
    const auto address = to_address(text);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline int listen_on(const std::string& text)
{
    const auto address = to_address(text);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(fd, 512) != 0) {
        std::perror(text.c_str());
        std::exit(2);
    }
    return fd;
}

inline bool send_all(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

// Value of a header field; empty without one.
inline std::string field(std::string_view head, std::string_view name)
{
    std::size_t line = head.find("\r\n");
    while (line != std::string_view::npos) {
        const auto begin = line + 2;
        const auto end = head.find("\r\n", begin);
        const auto text = head.substr(begin, end - begin);
        if (text.size() > name.size() && text[name.size()] == ':' &&
            ::strncasecmp(text.data(), name.data(), name.size()) == 0) {
            auto value = text.substr(name.size() + 1);
            while (!value.empty() && value.front() == ' ') {
                value.remove_prefix(1);
            }
            return std::string(value);
        }
        line = end;
    }
    return {};
}

struct request {
    std::string head;
    std::string method;
    std::string target;
    std::string body;
};

// Reads one request with a stated length; nothing at the end of the connection.
inline std::optional<request> read_request(int fd, std::string& input)
{
    char buffer[16384];
    request result;
    while (true) {
        const auto end = input.find("\r\n\r\n");
        if (end != std::string::npos) {
            const auto length = field(input.substr(0, end + 2), "Content-Length");
            const auto size = end + 4 + (length.empty() ? 0 : std::stoul(length));
            if (input.size() >= size) {
                result.head = input.substr(0, end + 2);
                result.body = input.substr(end + 4, size - end - 4);
                input.erase(0, size);
                const auto space = result.head.find(' ');
                result.method = result.head.substr(0, space);
                result.target =
                    result.head.substr(space + 1, result.head.find(' ', space + 1) - space - 1);
                return result;
            }
        }
        const auto count = ::recv(fd, buffer, sizeof(buffer), 0);
        if (count <= 0) {
            return std::nullopt;
        }
        input.append(buffer, static_cast<std::size_t>(count));
    }
}

inline std::string sized_answer(int status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// How the connection of an answer ended.
enum class ending { in_order, reset, timeout };

struct answer {
    int status = 0;
    std::string head;
    std::string body;
    /// The answer is whole by the rules of HTTP/1.1 (RFC 9112, section 6.3).
    bool is_complete = false;
    std::string framing;
    std::string end;
};

// Sends the bytes of a request on the connection and reads its answer.
inline answer exchange(int fd, const std::string& bytes, int timeout_s = 30)
{
    answer result;
    const timeval limit{timeout_s, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    if (!send_all(fd, bytes)) {
        result.end = "not sent";
        return result;
    }
    std::string input;
    char buffer[16384];
    while (true) {
        const auto end = input.find("\r\n\r\n");
        if (end != std::string::npos && result.head.empty()) {
            result.head = input.substr(0, end + 2);
            result.status = std::atoi(result.head.c_str() + 9);
            result.framing = !field(result.head, "Content-Length").empty()          ? "length"
                             : field(result.head, "Transfer-Encoding") == "chunked" ? "chunked"
                                                                                    : "connection";
        }
        if (!result.head.empty()) {
            result.body = input.substr(result.head.size() + 2);
            if (result.framing == "length") {
                result.is_complete =
                    result.body.size() >= std::stoul(field(result.head, "Content-Length"));
            }
            else if (result.framing == "chunked") {
                result.is_complete = result.body.ends_with("0\r\n\r\n");
            }
            if (result.is_complete) {
                result.end = "open";
                return result;
            }
        }
        const auto count = ::recv(fd, buffer, sizeof(buffer), 0);
        if (count > 0) {
            input.append(buffer, static_cast<std::size_t>(count));
            continue;
        }
        result.end = count == 0 ? "closed in order" : errno == ECONNRESET ? "reset" : "timeout";
        result.is_complete = count == 0 && result.framing == "connection";
        return result;
    }
}

inline answer call(const std::string& address, const std::string& bytes, int timeout_s = 30)
{
    const int fd = connect_to(address);
    if (fd < 0) {
        answer refused;
        refused.end = "no connection";
        return refused;
    }
    auto result = exchange(fd, bytes, timeout_s);
    ::close(fd);
    return result;
}

inline std::string plain_request(const std::string& method, const std::string& target,
                                 const std::string& fields, const std::string& body)
{
    return method + " " + target + " HTTP/1.1\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace peer
