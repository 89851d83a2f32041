#pragma once

#include <string>
#include <string_view>
#include <utility>

namespace snipespar {

/// A value that must never be printed. It has no formatter and no stream operator; its bytes are
/// reached only by name.
class secret {
public:
    secret() = default;
    explicit secret(std::string value) : value_(std::move(value)) {}

    /// The bytes, for use as a key; never for output.
    std::string_view reveal() const { return value_; }
    bool empty() const { return value_.empty(); }

private:
    std::string value_;
};

} // namespace snipespar
