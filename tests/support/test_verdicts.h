#pragma once

#include <string>
#include <vector>

namespace snipespar {

/// Names of the tests that ran, by their result.
struct test_verdicts {
    std::vector<std::string> passed;
    std::vector<std::string> failed;

    bool operator==(const test_verdicts&) const = default;
};

} // namespace snipespar
