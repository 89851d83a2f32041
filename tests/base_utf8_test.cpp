#include "base/utf8.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace snipespar {

class base_utf8_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(base_utf8_test);
    CPPUNIT_TEST(well_formed_text_is_accepted);
    CPPUNIT_TEST(malformed_text_is_rejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void well_formed_text_is_accepted()
    {
        for (const std::string& text :
             {std::string(), std::string("abc"), std::string(1, '\0'), std::string("\xc2\x80"),
              std::string("\xdf\xbf"), std::string("\xe0\xa0\x80"), std::string("\xed\x9f\xbf"),
              std::string("\xee\x80\x80"), std::string("\xef\xbf\xbf"),
              std::string("\xf0\x90\x80\x80"), std::string("\xf4\x8f\xbf\xbf")}) {
            CPPUNIT_ASSERT(is_utf8(text));
            CPPUNIT_ASSERT(is_utf8("a" + text + "b"));
        }
    }

    void malformed_text_is_rejected()
    {
        // Continuations alone, overlong forms, surrogates, code points beyond the last, cut ends.
        for (const std::string text :
             {"\x80", "\xbf", "\xc0\x80", "\xc1\xbf", "\xe0\x9f\xbf", "\xf0\x8f\xbf\xbf",
              "\xed\xa0\x80", "\xed\xbf\xbf", "\xf4\x90\x80\x80", "\xf8\x88\x80\x80\x80", "\xff",
              "\xfe", "\xc2", "\xe2\x82", "\xf0\x9f\x98", "\xc3\x28"}) {
            CPPUNIT_ASSERT(!is_utf8(text));
            CPPUNIT_ASSERT(!is_utf8("a" + text));
            CPPUNIT_ASSERT(!is_utf8(text + "b"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(base_utf8_test);

} // namespace snipespar
