#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// JSON texts of other systems. Values of the JSON library are copied, written and compared
/// recursively, so that none is made of a text that nests deeply.
namespace snipespar {

/// Deepest nesting of a text that is parsed.
constexpr int max_json_depth = 64;

/// Parses a text. Invalid argument: it is not JSON, holds a number that no type can hold, or nests
/// deeper than `max_json_depth`.
absl::StatusOr<nlohmann::json> parse_json(std::string_view text);

/// The raw text of each value of an object, by the raw text between the quotes of its name. Only
/// the structure is checked: a value may be malformed. Views into `text`.
absl::StatusOr<std::vector<std::pair<std::string_view, std::string_view>>>
split_json_object(std::string_view text);

/// The raw text of each element of an array, as above.
absl::StatusOr<std::vector<std::string_view>> split_json_array(std::string_view text);

/// The bytes that the text of a JSON string stands for, which need not be UTF-8. Invalid argument:
/// it is not a string, or has an escape that JSON does not know.
absl::StatusOr<std::string> json_string_bytes(std::string_view text);

/// Whether all texts and names of the value are UTF-8, and it nests no deeper than `depth`.
bool is_shallow_utf8(const nlohmann::json& value, int depth);

} // namespace snipespar
