#pragma once

#include <boost/beast/core/error.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace snipespar::net {

/// Checks the head of a response before anything of it is believed, beyond what Beast's parser
/// refuses: that one takes any three digits as a status. A head has a status from 100 to 599
/// (RFC 9110, section 15), and lines that end with CRLF.
///
/// The bytes may come in pieces of any size.
class response_head_check {
public:
    /// Takes further bytes; returns how many of them belong to the head.
    std::size_t add(std::string_view bytes, boost::beast::error_code& error);

    /// The empty line at the end was taken.
    bool is_complete() const { return state_ == state::complete; }

private:
    enum class state : std::uint8_t {
        status_line,
        line_begin,
        value,
        /// Behind the CR of a line.
        line_end,
        /// Behind the CR of the empty line.
        last_line_end,
        complete,
    };

    boost::beast::error_code take(char byte);
    bool has_sound_status() const;

    state state_ = state::status_line;
    bool is_status_line_ = true;
    /// The beginning of the status line.
    std::string status_line_;
};

} // namespace snipespar::net
