#include "net/response_head_check.h"

#include <absl/strings/ascii.h>
#include <boost/beast/http/error.hpp>

namespace snipespar::net {

namespace http = boost::beast::http;

namespace {

// `HTTP/1.1 200` and the byte behind it.
constexpr std::size_t status_position = 9;
constexpr std::size_t status_end = 12;
constexpr std::size_t status_prefix_bytes = status_end + 1;

} // namespace

std::size_t response_head_check::add(std::string_view bytes, boost::beast::error_code& error)
{
    error = {};
    std::size_t count = 0;
    while (count < bytes.size() && !is_complete() && !error) {
        error = take(bytes[count]);
        ++count;
    }
    return count;
}

boost::beast::error_code response_head_check::take(char byte)
{
    switch (state_) {
    case state::line_begin:
        state_ = byte == '\r' ? state::last_line_end : state::value;
        return {};
    case state::status_line:
    case state::value:
        if (byte == '\r') {
            state_ = state::line_end;
            return {};
        }
        if (state_ == state::status_line && status_line_.size() < status_prefix_bytes) {
            status_line_ += byte;
        }
        return {};
    case state::line_end:
        if (byte != '\n') {
            return http::error::bad_line_ending;
        }
        state_ = state::line_begin;
        if (is_status_line_ && !has_sound_status()) {
            return http::error::bad_status;
        }
        is_status_line_ = false;
        return {};
    case state::last_line_end:
        state_ = state::complete;
        return byte == '\n' ? boost::beast::error_code() : http::error::bad_line_ending;
    case state::complete:
        break;
    }
    return {};
}

// Whether the line has three digits from 100 to 599 where a status belongs. The parser checks the
// rest.
bool response_head_check::has_sound_status() const
{
    const auto is_digit = [](char byte) {
        return absl::ascii_isdigit(static_cast<unsigned char>(byte));
    };
    const std::string_view line = status_line_;
    return line.size() >= status_end && line[status_position - 1] == ' ' &&
           line[status_position] >= '1' && line[status_position] <= '5' &&
           is_digit(line[status_position + 1]) && is_digit(line[status_position + 2]) &&
           (line.size() == status_end || line[status_end] == ' ');
}

} // namespace snipespar::net
