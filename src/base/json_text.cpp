#include "base/json_text.h"

#include "base/json_array_cursor.h"
#include "base/utf8.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

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
