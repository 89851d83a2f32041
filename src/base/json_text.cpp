#include "base/json_text.h"

#include "base/json_array_cursor.h"
#include "base/utf8.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <system_error>

namespace snipespar {

namespace {

bool is_space(char character)
{
    return character == ' ' || character == '\n' || character == '\r' || character == '\t';
}

// What a byte means for the structure of a text.
enum class mark : std::uint8_t { none, quote, open, close, comma };

constexpr auto marks = [] {
    std::array<mark, 256> table{};
    table['"'] = mark::quote;
    table['['] = mark::open;
    table['{'] = mark::open;
    table[']'] = mark::close;
    table['}'] = mark::close;
    table[','] = mark::comma;
    return table;
}();

mark mark_of(char character)
{
    return marks[static_cast<unsigned char>(character)];
}

// Reads the structure of a text from left to right, without recursion.
class scanner {
public:
    explicit scanner(std::string_view text, std::size_t position = 0)
        : text_(text), position_(position)
    {
    }

    std::size_t position() const { return position_; }

    bool at_end() const { return position_ == text_.size(); }

    void skip_space()
    {
        while (!at_end() && is_space(text_[position_])) {
            ++position_;
        }
    }

    // Skips spaces and then `expected`; false if something else follows.
    bool take(char expected)
    {
        skip_space();
        if (at_end() || text_[position_] != expected) {
            return false;
        }
        ++position_;
        return true;
    }

    // The text between two quotes, with its escapes; false if there is none.
    bool take_string(std::string_view& content)
    {
        if (!take('"')) {
            return false;
        }
        const auto start = position_;
        if (!skip_string_rest()) {
            return false;
        }
        content = text_.substr(start, position_ - 1 - start);
        return true;
    }

    // Everything up to the comma or bracket that ends the value; false if that is missing.
    bool take_value(std::string_view& value)
    {
        skip_space();
        const auto start = position_;
        const auto size = text_.size();
        auto at = position_;
        std::size_t depth = 0;
        while (true) {
            while (at < size && mark_of(text_[at]) == mark::none) {
                ++at;
            }
            if (at == size) {
                break;
            }
            const auto next = mark_of(text_[at]);
            if (depth == 0 && (next == mark::comma || next == mark::close)) {
                position_ = at;
                value = trimmed(text_.substr(start, at - start));
                return !value.empty();
            }
            ++at;
            if (next == mark::quote) {
                position_ = at;
                if (!skip_string_rest()) {
                    return false;
                }
                at = position_;
            }
            else if (next == mark::open) {
                ++depth;
            }
            else if (next == mark::close) {
                --depth;
            }
        }
        position_ = size;
        return false;
    }

    // Deepest nesting of brackets from here to the end.
    int depth()
    {
        int current = 0;
        int deepest = 0;
        while (!at_end()) {
            const char next = text_[position_++];
            if (next == '"') {
                skip_string_rest();
            }
            else if (next == '[' || next == '{') {
                deepest = std::max(deepest, ++current);
            }
            else if (next == ']' || next == '}') {
                --current;
            }
        }
        return deepest;
    }

private:
    static std::string_view trimmed(std::string_view text)
    {
        while (!text.empty() && is_space(text.back())) {
            text.remove_suffix(1);
        }
        return text;
    }

    // Moves behind the closing quote; false if there is none.
    bool skip_string_rest()
    {
        const auto size = text_.size();
        auto at = position_;
        while (true) {
            while (at < size && text_[at] != '"' && text_[at] != '\\') {
                ++at;
            }
            if (at >= size) {
                break;
            }
            if (text_[at] == '"') {
                position_ = at + 1;
                return true;
            }
            // The escaped character.
            at += 2;
        }
        position_ = size;
        return false;
    }

    std::string_view text_;
    std::size_t position_ = 0;
};

// Reads the parts of a container, which follow its opening bracket, with `read_part`.
template <class ReadPart>
absl::Status split(scanner& source, char closing, ReadPart read_part)
{
    constexpr const char* malformed = "not a well-formed JSON container";
    if (!source.take(closing)) {
        do {
            if (!read_part()) {
                return absl::InvalidArgumentError(malformed);
            }
        } while (source.take(','));
        if (!source.take(closing)) {
            return absl::InvalidArgumentError(malformed);
        }
    }
    source.skip_space();
    return source.at_end() ? absl::OkStatus() : absl::InvalidArgumentError(malformed);
}

// Reads the four digits of an escape that follow `\\u`; nothing if they are malformed.
std::optional<std::uint32_t> read_code_unit(std::string_view text, std::size_t position)
{
    constexpr std::size_t digits = 4;
    constexpr int hexadecimal = 16;
    if (text.size() < position + digits) {
        return std::nullopt;
    }
    std::uint32_t unit = 0;
    const char* const begin = text.data() + position;
    const auto [stop, error] = std::from_chars(begin, begin + digits, unit, hexadecimal);
    return error == std::errc{} && stop == begin + digits ? std::optional(unit) : std::nullopt;
}

void append_utf8(std::string& text, std::uint32_t code)
{
    constexpr std::uint32_t end_of_one_byte = 0x80;
    constexpr std::uint32_t end_of_two_bytes = 0x800;
    constexpr std::uint32_t end_of_three_bytes = 0x10000;
    const auto append = [&](std::uint32_t byte) { text += static_cast<char>(byte); };
    const auto append_following = [&](unsigned shift) {
        append(0x80U | ((code >> shift) & 0x3fU));
    };
    if (code < end_of_one_byte) {
        append(code);
        return;
    }
    if (code < end_of_two_bytes) {
        append(0xc0U | (code >> 6U));
    }
    else if (code < end_of_three_bytes) {
        append(0xe0U | (code >> 12U));
        append_following(6);
    }
    else {
        append(0xf0U | (code >> 18U));
        append_following(12);
        append_following(6);
    }
    append_following(0);
}

// Appends the character of the escape behind the backslash at `position` and moves `position` to
// its last character; false if JSON has no such escape. A surrogate without its other half is kept.
bool append_escaped(std::string& bytes, std::string_view text, std::size_t& position)
{
    constexpr std::string_view escapes = "\"\\/bfnrt";
    constexpr std::string_view meanings = "\"\\/\b\f\n\r\t";
    constexpr std::size_t code_unit_digits = 4;
    const char kind = ++position < text.size() ? text[position] : '\0';
    if (const auto found = escapes.find(kind); found != std::string_view::npos) {
        bytes += meanings[found];
        return true;
    }
    const auto unit = kind == 'u' ? read_code_unit(text, position + 1) : std::nullopt;
    if (!unit) {
        return false;
    }
    position += code_unit_digits;
    std::uint32_t code = *unit;
    if ((code & 0xfc00U) == 0xd800U && text.substr(position + 1).starts_with("\\u")) {
        const auto low = read_code_unit(text, position + 3);
        if (low && (*low & 0xfc00U) == 0xdc00U) {
            code = 0x10000U + ((code & 0x3ffU) << 10U) + (*low & 0x3ffU);
            position += 2 + code_unit_digits;
        }
    }
    append_utf8(bytes, code);
    return true;
}

} // namespace

absl::StatusOr<nlohmann::json> parse_json(std::string_view text)
{
    if (scanner(text).depth() > max_json_depth) {
        return absl::InvalidArgumentError("JSON nested too deeply");
    }
    auto value = nlohmann::json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        return absl::InvalidArgumentError("not valid JSON");
    }
    return value;
}

absl::StatusOr<std::vector<std::pair<std::string_view, std::string_view>>>
split_json_object(std::string_view text)
{
    scanner source(text);
    if (!source.take('{')) {
        return absl::InvalidArgumentError("not a JSON object");
    }
    std::vector<std::pair<std::string_view, std::string_view>> members;
    auto status = split(source, '}', [&] {
        auto& [name, value] = members.emplace_back();
        return source.take_string(name) && source.take(':') && source.take_value(value);
    });
    if (!status.ok()) {
        return status;
    }
    return members;
}

absl::StatusOr<std::vector<std::string_view>> split_json_array(std::string_view text)
{
    scanner source(text);
    if (!source.take('[')) {
        return absl::InvalidArgumentError("not a JSON array");
    }
    std::vector<std::string_view> elements;
    auto status = split(source, ']', [&] { return source.take_value(elements.emplace_back()); });
    if (!status.ok()) {
        return status;
    }
    return elements;
}

absl::StatusOr<std::string> json_string_bytes(std::string_view text)
{
    std::string_view content;
    if (scanner source(text); !source.take_string(content) || !source.at_end()) {
        return absl::InvalidArgumentError("not a JSON string");
    }
    std::string bytes;
    bytes.reserve(content.size());
    for (std::size_t i = 0; i < content.size(); ++i) {
        if (content[i] != '\\') {
            bytes += content[i];
        }
        else if (!append_escaped(bytes, content, i)) {
            return absl::InvalidArgumentError("an unknown escape");
        }
    }
    return bytes;
}

absl::StatusOr<std::optional<std::string_view>> json_array_cursor::next()
{
    constexpr const char* malformed = "not a well-formed JSON array";
    if (has_ended_) {
        return std::nullopt;
    }
    scanner source(text_, position_);
    if (!has_begun_ && !source.take('[')) {
        return absl::InvalidArgumentError("not a JSON array");
    }
    if (source.take(']')) {
        has_ended_ = true;
        source.skip_space();
        if (!source.at_end()) {
            return absl::InvalidArgumentError(malformed);
        }
        return std::nullopt;
    }
    if (has_begun_ && !source.take(',')) {
        return absl::InvalidArgumentError(malformed);
    }
    has_begun_ = true;
    std::string_view element;
    if (!source.take_value(element)) {
        return absl::InvalidArgumentError(malformed);
    }
    position_ = source.position();
    return element;
}

bool is_shallow_utf8(const nlohmann::json& value, int depth)
{
    if (value.is_string()) {
        return is_utf8(value.get_ref<const std::string&>());
    }
    if (!value.is_structured()) {
        return true;
    }
    if (depth == 0) {
        return false;
    }
    if (value.is_array()) {
        return std::ranges::all_of(
            value, [&](const nlohmann::json& item) { return is_shallow_utf8(item, depth - 1); });
    }
    const auto& members = value.get_ref<const nlohmann::json::object_t&>();
    return std::ranges::all_of(members, [&](const auto& member) {
        return is_utf8(member.first) && is_shallow_utf8(member.second, depth - 1);
    });
}

} // namespace snipespar
