#pragma once

#include <string>
#include <vector>

namespace snipespar {

/// One error found in an input, with its place: a line and column (`fleet.yaml:12:3`), a path
/// (`teams[2].rate`) or a setting (`--listen`).
struct finding {
    std::string place;
    std::string message;

    friend bool operator==(const finding&, const finding&) = default;
};

/// All errors of one input, reported together.
using findings = std::vector<finding>;

/// Formats one finding per line, as `place: message`.
std::string to_string(const findings& list);

} // namespace snipespar
