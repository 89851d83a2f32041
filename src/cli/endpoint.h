#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace snipespar::cli {

/// A numeric IP address with a TCP port.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;

    /// The form that `parse_endpoint` accepts: `127.0.0.1:8080` or `[::1]:8080`.
    std::string str() const
    {
        const bool is_v6 = ip.find(':') != std::string::npos;
        return (is_v6 ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
    }

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
    friend bool operator==(const endpoint&, const endpoint&) = default;
};

} // namespace snipespar::cli
