#include "resume/stream_key.h"

#include "base/digest.h"

#include <charconv>
#include <string>

namespace snipespar::resume {

namespace {

constexpr std::size_t digits = 16;

std::uint64_t from_hex(std::string_view text)
{
    constexpr int base = 16;
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, base);
    return value;
}

} // namespace

stream_key make_stream_key(const team_id& team, std::string_view request_id)
{
    std::string name = team.str();
    name += '\0';
    name += request_id;
    const auto digest = sha256_hex(name);
    const std::string_view text(digest);
    return {from_hex(text.substr(0, digits)), from_hex(text.substr(digits, digits))};
}

} // namespace snipespar::resume
