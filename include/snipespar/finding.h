#pragma once

#include <string>
#include <vector>

namespace snipespar {

/// One fault found in input, with its place: a line and column (`fleet.yaml:12:3`), a path
/// (`teams[2].rate`) or a setting (`--listen`).
struct finding {
    std::string place;
    std::string message;

    friend bool operator==(const finding&, const finding&) = default;
};

/// All faults of one input, reported together.
using findings = std::vector<finding>;

/// Renders one finding a line, as `place: message`.
std::string to_string(const findings& list);

} // namespace snipespar
