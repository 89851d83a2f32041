#pragma once

#include <absl/status/statusor.h>
#include <cstddef>
#include <optional>
#include <string_view>

namespace snipespar {

/// Goes through the elements of a JSON array one by one, so that a long one need not be split at
/// once. Only the structure is checked, as by `split_json_array`.
class json_array_cursor {
public:
    explicit json_array_cursor(std::string_view text) : text_(text) {}

    /// The raw text of the next element; nothing at the end. A view into the text.
    absl::StatusOr<std::optional<std::string_view>> next();

private:
    std::string_view text_;
    std::size_t position_ = 0;
    bool has_begun_ = false;
    bool has_ended_ = false;
};

} // namespace snipespar
