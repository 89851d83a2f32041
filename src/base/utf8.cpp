#include "base/utf8.h"

#include <cstddef>
#include <cstdint>

namespace snipespar {

namespace {

// Code points of one length begin at `first`; the lead byte of a sequence has `lead` in the bits of
// `mask`.
struct sequence_form {
    std::uint8_t mask;
    std::uint8_t lead;
    std::size_t length;
    std::uint32_t first;
};

constexpr sequence_form forms[] = {
    {0x80, 0x00, 1, 0x0},
    {0xe0, 0xc0, 2, 0x80},
    {0xf0, 0xe0, 3, 0x800},
    {0xf8, 0xf0, 4, 0x10000},
};
constexpr std::uint32_t first_surrogate = 0xd800;
constexpr std::uint32_t last_surrogate = 0xdfff;
constexpr std::uint32_t last_code_point = 0x10ffff;
constexpr std::uint8_t continuation_mask = 0xc0;
constexpr std::uint8_t continuation_lead = 0x80;
constexpr unsigned continuation_bits = 6;

// Length of the sequence that begins the text; 0 if it is malformed.
std::size_t sequence_length(std::string_view text)
{
    const auto lead = static_cast<std::uint8_t>(text.front());
    for (const auto& form : forms) {
        if ((lead & form.mask) != form.lead) {
            continue;
        }
        if (text.size() < form.length) {
            return 0;
        }
        std::uint32_t code = lead & static_cast<std::uint8_t>(~form.mask);
        for (const char item : text.substr(1, form.length - 1)) {
            const auto byte = static_cast<std::uint8_t>(item);
            if ((byte & continuation_mask) != continuation_lead) {
                return 0;
            }
            code = (code << continuation_bits) | (byte & ~continuation_mask & 0xffU);
        }
        const bool is_surrogate = code >= first_surrogate && code <= last_surrogate;
        return code < form.first || code > last_code_point || is_surrogate ? 0 : form.length;
    }
    return 0;
}

} // namespace

bool is_utf8(std::string_view text)
{
    while (!text.empty()) {
        const auto length = sequence_length(text);
        if (length == 0) {
            return false;
        }
        text.remove_prefix(length);
    }
    return true;
}

} // namespace snipespar
