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

bool is_token_character(char byte)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return absl::ascii_isalnum(static_cast<unsigned char>(byte)) ||
           others.find(byte) != std::string_view::npos;
}

bool is_control(char byte)
{
    return byte != '\t' && absl::ascii_iscntrl(static_cast<unsigned char>(byte));
}

} // namespace

response_head_check response_head_check::of_trailers()
{
    response_head_check result;
    result.state_ = state::line_begin;
    result.is_status_line_ = false;
    return result;
}

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
        return begin_line(byte);
    case state::name:
        if (byte == ':') {
            state_ = state::value;
            return {};
        }
        return is_token_character(byte) ? boost::beast::error_code() : http::error::bad_field;
    case state::status_line:
    case state::value:
        if (byte == '\r') {
            state_ = state::line_end;
            return {};
        }
        if (is_control(byte)) {
            return byte == '\n' ? http::error::bad_line_ending : http::error::bad_value;
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

boost::beast::error_code response_head_check::begin_line(char byte)
{
    if (byte == '\r') {
        state_ = state::last_line_end;
        return {};
    }
    if (byte == ' ' || byte == '\t') {
        return http::error::bad_obs_fold;
    }
    state_ = state::name;
    return is_token_character(byte) ? boost::beast::error_code() : http::error::bad_field;
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
