#pragma once

// Include this first: it decides how Boost's assertions act in the including source.
#ifdef BOOST_ASSERT
#error "Boost's assertions are already defined"
#endif
#define BOOST_ENABLE_ASSERT_HANDLER

#include <boost/assert.hpp>
#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace boost {

/// Ends the process, except for one assertion of Beast 1.81 that does not hold for sound input: the
/// parser asks for five bytes when it comes back to a last chunk, but has stopped behind the three
/// of `0\r\n`. It reads no more than it has, and builds for use have no assertions.
inline void assertion_failed(const char* expression, const char* function, const char* file,
                             long line)
{
    if (std::string_view(expression) == "n >= 5" &&
        std::string_view(function).find("parse_chunk_header") != std::string_view::npos) {
        return;
    }
    std::fprintf(stderr, "%s:%ld: assertion failed: %s\n", file, line, expression);
    std::abort();
}

inline void assertion_failed_msg(const char* expression, const char* /*message*/,
                                 const char* function, const char* file, long line)
{
    assertion_failed(expression, function, file, line);
}

} // namespace boost
