#pragma once

#include <cppunit/Test.h>
#include <memory>
#include <string_view>
#include <vector>

namespace snipespar {

/// The registered tests whose name contains a text, in a fixed order. Making it constructs the
/// fixture of every registered test, which may open descriptors.
class test_selection {
public:
    explicit test_selection(std::string_view only);

    const std::vector<CppUnit::Test*>& tests() const { return tests_; }

private:
    void collect(CppUnit::Test& test, std::string_view only);

    std::unique_ptr<CppUnit::Test> suite_;
    std::vector<CppUnit::Test*> tests_;
};

} // namespace snipespar
