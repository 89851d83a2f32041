#include "support/test_selection.h"

#include <cppunit/extensions/TestFactoryRegistry.h>
#include <string>

namespace snipespar {

test_selection::test_selection(std::string_view only)
    : suite_(CppUnit::TestFactoryRegistry::getRegistry().makeTest())
{
    collect(*suite_, only);
}

void test_selection::collect(CppUnit::Test& test, std::string_view only)
{
    for (int i = 0; i < test.getChildTestCount(); ++i) {
        collect(*test.getChildTestAt(i), only);
    }
    if (test.getChildTestCount() == 0 && test.getName().find(only) != std::string::npos) {
        tests_.push_back(&test);
    }
}

} // namespace snipespar
