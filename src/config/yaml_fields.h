#pragma once

#include "config/placed_findings.h"

#include <absl/strings/numbers.h>
#include <concepts>
#include <fmt/core.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace snipespar::config {

/// Reads the fields of one YAML mapping. Type errors, duplicate, missing and unknown fields become
/// findings; reading continues with a default, so that one pass reports all faults.
class yaml_fields {
public:
    /// One field as written, with its position.
    struct entry {
        std::string name;
        YAML::Mark mark;
        YAML::Node value;
    };

    /// `what` is the name of the mapping in messages.
    yaml_fields(const YAML::Node& node, std::string what, placed_findings& out);

    /// The entries in file order, for mappings with operator-defined keys.
    const std::vector<entry>& entries() const { return entries_; }

    /// The field's node, or none if it is absent, which is a finding when it is `required`.
    std::optional<YAML::Node> take(std::string_view name, bool required);

    /// A scalar as a string; empty after a finding.
    std::string text(std::string_view name);

    /// A number of at least `minimum`, or `fallback` when the field is absent.
    template <class Number>
    Number number(std::string_view name, std::optional<Number> fallback, Number minimum);

    /// `true` or `false`; `fallback` when the field is absent.
    bool flag(std::string_view name, bool fallback);

    /// A sequence of scalars; empty when the field is absent.
    std::vector<entry> texts(std::string_view name);

    /// Reports every field that was not read, with the nearest known name as a hint.
    void reject_unknown();

private:
    std::string what_;
    YAML::Mark mark_;
    placed_findings& out_;
    std::vector<entry> entries_;
    std::map<std::string, std::size_t, std::less<>> index_;
    std::vector<std::string> known_;
};

template <class Number>
Number yaml_fields::number(std::string_view name, std::optional<Number> fallback, Number minimum)
{
    const auto node = take(name, !fallback);
    if (!node) {
        return fallback.value_or(minimum);
    }
    Number value{};
    bool valid = node->IsScalar();
    if constexpr (std::floating_point<Number>) {
        valid = valid && absl::SimpleAtod(node->Scalar(), &value) && value < 1e15;
    }
    else {
        valid = valid && absl::SimpleAtoi(node->Scalar(), &value);
    }
    if (!valid || !(value >= minimum)) {
        out_.add(node->Mark(), fmt::format("`{}` must be a number of at least {}", name, minimum));
        return fallback.value_or(minimum);
    }
    return value;
}

} // namespace snipespar::config
