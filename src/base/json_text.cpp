#include "base/json_text.h"

#include "base/utf8.h"

#include <algorithm>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

namespace snipespar {

namespace {

bool is_space(char character)
{
    return character == ' ' || character == '\n' || character == '\r' || character == '\t';
}

// Reads the structure of a text from left to right, without recursion.
class scanner {
public:
    explicit scanner(std::string_view text) : text_(text) {}

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
        std::size_t depth = 0;
        while (!at_end()) {
            const char next = text_[position_];
            const bool is_closing = next == ']' || next == '}';
            if (depth == 0 && (next == ',' || is_closing)) {
                value = trimmed(text_.substr(start, position_ - start));
                return !value.empty();
            }
            ++position_;
            if (next == '"') {
                if (!skip_string_rest()) {
                    return false;
                }
            }
            else if (next == '[' || next == '{') {
                ++depth;
            }
            else if (is_closing) {
                --depth;
            }
        }
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
        while (!at_end()) {
            const char next = text_[position_++];
            if (next == '"') {
                return true;
            }
            if (next == '\\' && !at_end()) {
                ++position_;
            }
        }
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
