#include "gateway/refusal.h"

#include "platform/wire_names.h"

#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

namespace snipespar::gateway {

std::string to_http(const refusal& response, const std::string& request_id)
{
    const auto reason = boost::beast::http::obsolete_reason(
        static_cast<boost::beast::http::status>(response.status));
    const std::string body = response.cause + "\n";
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", response.status,
                                   std::string_view(reason.data(), reason.size()));
    if (!request_id.empty()) {
        text += fmt::format("{}: {}\r\n", platform::wire::request_id, request_id);
    }
    if (response.retry_after) {
        text += fmt::format("Retry-After: {:.3f}\r\n",
                            std::chrono::duration<double>(*response.retry_after).count());
    }
    if (response.closes) {
        text += "Connection: close\r\n";
    }
    text +=
        fmt::format("Content-Type: text/plain\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
    return text;
}

} // namespace snipespar::gateway
