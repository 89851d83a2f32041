#include "base/cbor.h"

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <nlohmann/json.hpp>
#include <vector>

namespace snipespar {

namespace {

using nlohmann::json;

constexpr std::size_t max_depth = 32;

// Reads heads of data items from left to right, without recursion (RFC 8949, section 3).
class head_reader {
public:
    explicit head_reader(std::string_view bytes) : bytes_(bytes) {}

    // Whether all items are whole, nest less than `max_depth` deep and have a definite length.
    // `to_cbor` writes no others, and the decoder recurses for them.
    bool is_sound()
    {
        // Items that are still expected at each level.
        std::vector<std::uint64_t> expected{1};
        while (!expected.empty()) {
            if (expected.back() == 0) {
                expected.pop_back();
                continue;
            }
            --expected.back();
            std::uint64_t members = 0;
            if (expected.size() > max_depth || !read_item(members)) {
                return false;
            }
            if (members > 0) {
                expected.push_back(members);
            }
        }
        return bytes_.empty();
    }

private:
    enum major_type : std::uint8_t {
        bytes_type = 2,
        text_type = 3,
        array_type = 4,
        map_type = 5,
        tag_type = 6,
        simple_type = 7
    };

    // Reads one head and the content of a string; `members` are the items that follow within it.
    bool read_item(std::uint64_t& members)
    {
        constexpr unsigned type_shift = 5;
        constexpr unsigned info_mask = 0x1f;
        if (bytes_.empty()) {
            return false;
        }
        const auto head = static_cast<std::uint8_t>(bytes_.front());
        bytes_.remove_prefix(1);
        std::uint64_t value = 0;
        if (!read_value(head & info_mask, value)) {
            return false;
        }
        switch (head >> type_shift) {
        case bytes_type:
        case text_type:
            if (value > bytes_.size()) {
                return false;
            }
            bytes_.remove_prefix(value);
            return true;
        case array_type:
            members = value;
            return value <= bytes_.size();
        case map_type:
            members = 2 * value;
            return value <= bytes_.size();
        case tag_type:
            return false;
        default:
            return true;
        }
    }

    bool read_value(unsigned info, std::uint64_t& value)
    {
        constexpr unsigned first_with_bytes = 24;
        constexpr unsigned last_with_bytes = 27;
        constexpr unsigned byte_bits = 8;
        value = info;
        if (info < first_with_bytes) {
            return true;
        }
        if (info > last_with_bytes) {
            return false;
        }
        const std::size_t count = std::size_t{1} << (info - first_with_bytes);
        if (count > bytes_.size()) {
            return false;
        }
        value = 0;
        for (const char byte : bytes_.substr(0, count)) {
            value = (value << byte_bits) | static_cast<std::uint8_t>(byte);
        }
        bytes_.remove_prefix(count);
        return true;
    }

    std::string_view bytes_;
};

} // namespace

std::string to_cbor(const json& value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

absl::StatusOr<json> from_cbor(std::string_view bytes)
{
    if (!head_reader(bytes).is_sound()) {
        return absl::InvalidArgumentError("CBOR: malformed or nested too deeply");
    }
    constexpr bool strict = true;
    constexpr bool allow_exceptions = false;
    try {
        json value = json::from_cbor(bytes.begin(), bytes.end(), strict, allow_exceptions);
        if (!value.is_discarded()) {
            return value;
        }
    }
    catch (const json::exception&) {
        // Thrown despite the flag when a container declares more members than fit in memory.
    }
    return absl::InvalidArgumentError("CBOR: malformed");
}

} // namespace snipespar
