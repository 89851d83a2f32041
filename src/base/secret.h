#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace snipespar {

/// A value that must not appear in clear in any log, trace, metric or message. It has no formatter
/// and no stream operator, so that printing one does not compile; only `reveal` gives access.
class secret {
public:
    secret() = default;
    explicit secret(std::string value) : value_(std::move(value)) {}

    /// The value itself, for key derivation only.
    std::string_view reveal() const { return value_; }
    bool empty() const { return value_.empty(); }

    /// Compares in time that depends only on the lengths.
    friend bool operator==(const secret& left, const secret& right)
    {
        if (left.value_.size() != right.value_.size()) {
            return false;
        }
        unsigned difference = 0;
        for (std::size_t i = 0; i < left.value_.size(); ++i) {
            difference |= static_cast<unsigned char>(left.value_[i]) ^
                          static_cast<unsigned char>(right.value_[i]);
        }
        return difference == 0;
    }

private:
    std::string value_;
};

} // namespace snipespar
