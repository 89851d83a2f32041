#include "base/percent_coding.h"

#include <absl/status/status.h>
#include <absl/strings/ascii.h>
#include <charconv>
#include <fmt/format.h>
#include <system_error>

namespace snipespar {

namespace {

constexpr std::size_t code_digits = 2;

bool is_unreserved(char character)
{
    return absl::ascii_isalnum(static_cast<unsigned char>(character)) || character == '-' ||
           character == '.' || character == '_' || character == '~';
}

} // namespace

std::string percent_encode(std::string_view text)
{
    std::string result;
    result.reserve(text.size());
    for (const char character : text) {
        if (is_unreserved(character)) {
            result += character;
        }
        else {
            result += fmt::format("%{:02X}", static_cast<unsigned char>(character));
        }
    }
    return result;
}

absl::StatusOr<std::string> percent_decode(std::string_view text)
{
    constexpr int hexadecimal = 16;
    std::string result;
    result.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            result += text[i];
            continue;
        }
        const std::string digits(text.substr(i + 1, code_digits));
        const char* const end = digits.data() + digits.size();
        unsigned char code = 0;
        const auto [stop, error] = std::from_chars(digits.data(), end, code, hexadecimal);
        if (digits.size() != code_digits || error != std::errc{} || stop != end) {
            return absl::InvalidArgumentError("% is not followed by two hexadecimal digits");
        }
        result += static_cast<char>(code);
        i += code_digits;
    }
    return result;
}

} // namespace snipespar
