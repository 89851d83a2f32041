#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace snipespar {

/// An immutable string that identifies one kind of object. Identifiers of different kinds neither
/// compare nor convert, so a team cannot be passed where a key is expected.
template <class Tag>
class strong_string {
public:
    strong_string() = default;
    explicit strong_string(std::string value) : value_(std::move(value)) {}

    const std::string& str() const { return value_; }
    bool empty() const { return value_.empty(); }

    friend auto operator<=>(const strong_string&, const strong_string&) = default;
    friend bool operator==(const strong_string&, const strong_string&) = default;

private:
    std::string value_;
};

} // namespace snipespar

template <class Tag>
struct std::hash<snipespar::strong_string<Tag>> {
    std::size_t operator()(const snipespar::strong_string<Tag>& name) const noexcept
    {
        return std::hash<std::string>{}(name.str());
    }
};
