#pragma once

#include <boost/beast/core/error.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace snipespar::net {

/// Checks the lines of a response's head before anything of it is believed, beyond what Beast's
/// parser refuses: that one takes any three digits as a status, and joins a line that begins with a
/// blank to the field before it. A head has a status from 100 to 599, names of token characters, no
/// folded line, no control characters in values, and lines that end with CRLF (RFC 9110,
/// sections 5.1, 5.5, 5.6.2 and 15; RFC 9112, sections 2.2, 4 and 5).
///
/// The bytes may come in pieces of any size.
class response_head_check {
public:
    /// Takes further bytes; returns how many of them belong to the head.
    std::size_t add(std::string_view bytes, boost::beast::error_code& error);

    /// The empty line at the end was taken.
    bool is_complete() const { return state_ == state::complete; }

    /// Expects the fields of a trailer, which has no status line.
    static response_head_check of_trailers();

private:
    enum class state : std::uint8_t {
        status_line,
        line_begin,
        name,
        value,
        /// Behind the CR of a line.
        line_end,
        /// Behind the CR of the empty line.
        last_line_end,
        complete,
    };

    boost::beast::error_code take(char byte);
    boost::beast::error_code begin_line(char byte);
    bool has_sound_status() const;

    state state_ = state::status_line;
    bool is_status_line_ = true;
    /// The beginning of the status line.
    std::string status_line_;
};

} // namespace snipespar::net
