#include "platform/object_codec.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstddef>
#include <string>
#include <vector>

namespace snipespar::platform {

class platform_object_codec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_object_codec_test);
    CPPUNIT_TEST(sound_objects_are_read_beside_unreadable_ones);
    CPPUNIT_TEST(name_with_control_characters_is_unreadable);
    CPPUNIT_TEST(names_are_kept_as_the_store_states_them);
    CPPUNIT_TEST(few_of_many_unreadable_objects_are_kept);
    CPPUNIT_TEST_SUITE_END();

public:
    void sound_objects_are_read_beside_unreadable_ones()
    {
        const auto page = decode_object_page(
            R"({"items":[{"metadata":{"name":"a"},"spec":{"x":1}},7,)"
            R"({"metadata":{"name":"b"},"spec":1e400}],"has_more":true,"current_rev":9})");
        CPPUNIT_ASSERT(page.ok());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, page->revision);
        CPPUNIT_ASSERT(page->has_more);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, page->objects.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), page->objects[0].name);
        CPPUNIT_ASSERT(page->objects[1].content.is_null());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, page->unreadable.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), page->unreadable[1].name);
    }

    // Guards against names that begin a field of their own in the header of a request.
    void name_with_control_characters_is_unreadable()
    {
        for (const std::string name : {"w\\r\\nA: b", "a b", "a\\u0000", "\\u007f"}) {
            const auto page = decode_object_page(R"({"items":[{"metadata":{"name":")" + name +
                                                 R"("},"spec":{}}],"current_rev":9})");
            CPPUNIT_ASSERT(page.ok());
            CPPUNIT_ASSERT_MESSAGE(name, page->objects.empty());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, page->unreadable.size());
        }
    }

    // Guards against a list that cannot go on behind an object whose name is not fit for use.
    void names_are_kept_as_the_store_states_them()
    {
        const std::string large(3UL * 1024 * 1024, 'x');
        const auto page = decode_object_page(
            R"({"items":[{"metadata":{"name":"a\u0000 b"},"spec":{}},{"metadata":{"name":")"
            "\xff"
            R"("},"spec":{}},{"metadata":{"name":""},"spec":{}},{"metadata":{"name":7}},7,)"
            R"({"metadata":{"name":"large"},"spec":")" +
            large + R"("}],"has_more":true,"current_rev":9})");
        CPPUNIT_ASSERT(page.ok());
        CPPUNIT_ASSERT(page->objects.empty());
        const std::vector<std::string> names{std::string("a\0 b", 4), "\xff", "", "large"};
        CPPUNIT_ASSERT(page->names == names);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, page->unreadable.size());
    }

    // Guards against a page of small unreadable items that fills the memory.
    void few_of_many_unreadable_objects_are_kept()
    {
        constexpr std::size_t items = 200'000;
        constexpr std::size_t most_kept = 32;
        std::string text = R"({"items":[)";
        for (std::size_t i = 0; i < items; ++i) {
            text += "1,";
        }
        text += R"({"metadata":{"name":"a"},"spec":{}}],"current_rev":9})";
        const auto page = decode_object_page(text);
        CPPUNIT_ASSERT(page.ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, page->objects.size());
        CPPUNIT_ASSERT(page->unreadable.size() <= most_kept);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_object_codec_test);

} // namespace snipespar::platform
