#include "base/json_text.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace snipespar {

class base_json_text_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(base_json_text_test);
    CPPUNIT_TEST(text_is_parsed_up_to_a_depth);
    CPPUNIT_TEST(text_without_a_value_is_an_error);
    CPPUNIT_TEST(containers_are_split_without_reading_their_values);
    CPPUNIT_TEST(malformed_containers_are_errors);
    CPPUNIT_TEST(bytes_of_a_string_are_kept);
    CPPUNIT_TEST(malformed_strings_are_errors);
    CPPUNIT_TEST_SUITE_END();

public:
    void bytes_of_a_string_are_kept()
    {
        using std::string_literals::operator""s;
        const std::vector<std::pair<std::string, std::string>> cases{
            {R"("")", ""},
            {R"("a b")", "a b"},
            {R"("\"\\\/\b\f\n\r\t")", "\"\\/\b\f\n\r\t"},
            {R"("\u0000\u0041\u00e9\u20AC\ud83d\ude00")",
             "\0A\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80"s},
            {"\"\xff\xfe\"", "\xff\xfe"},
            {R"("\ud800x")", "\xed\xa0\x80x"}};
        for (const auto& [text, bytes] : cases) {
            const auto read = json_string_bytes(text);
            CPPUNIT_ASSERT_MESSAGE(text, read.ok());
            CPPUNIT_ASSERT_MESSAGE(text, *read == bytes);
        }
    }

    void malformed_strings_are_errors()
    {
        for (const std::string text : {"", "7", "null", "\"", "\"a", "a\"", "\"a\"b", R"("\x")",
                                       R"("\u12")", R"("\u12g4")", R"("\")"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !json_string_bytes(text).ok());
        }
    }

    // Guards against values whose copy or destruction exhausts the stack.
    void text_is_parsed_up_to_a_depth()
    {
        const auto nested = [](int depth) {
            const auto size = static_cast<std::size_t>(depth);
            return std::string(size, '[') + std::string(size, ']');
        };
        CPPUNIT_ASSERT(parse_json(nested(max_json_depth)).ok());
        CPPUNIT_ASSERT(!parse_json(nested(max_json_depth + 1)).ok());
        CPPUNIT_ASSERT(!parse_json(nested(500'000)).ok());
        // Brackets in strings nest nothing.
        CPPUNIT_ASSERT(parse_json("[\"" + std::string(100, '[') + "\\\"[\"]").ok());
        CPPUNIT_ASSERT_EQUAL(7, parse_json(R"({"a": [7]})")->at("a").at(0).get<int>());
    }

    void text_without_a_value_is_an_error()
    {
        for (const std::string text :
             {"", "{", "1e400", "\"\xff\"", "\"\\ud800\"", "[1,]", "nul"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !parse_json(text).ok());
        }
    }

    void containers_are_split_without_reading_their_values()
    {
        const auto members = split_json_object(
            " { \"a\" : 1e400 , \"b\\\"\":[ \"}\", {\"x\":1} ],\"c\":\"\xff\" } \n");
        CPPUNIT_ASSERT(members.ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, members->size());
        CPPUNIT_ASSERT(members->at(0) ==
                       std::pair(std::string_view("a"), std::string_view("1e400")));
        CPPUNIT_ASSERT(members->at(1).first == "b\\\"");
        CPPUNIT_ASSERT(members->at(1).second == "[ \"}\", {\"x\":1} ]");
        CPPUNIT_ASSERT(members->at(2).second == "\"\xff\"");
        const auto elements = split_json_array("[1,{\"a\":},\n\"]\"]");
        CPPUNIT_ASSERT(elements.ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, elements->size());
        CPPUNIT_ASSERT(elements->at(1) == "{\"a\":}");
        CPPUNIT_ASSERT(split_json_array("[]")->empty());
        CPPUNIT_ASSERT(split_json_object("{}")->empty());
    }

    void malformed_containers_are_errors()
    {
        for (const std::string text :
             {"", "[", "[1", "[1,", "[1,]", "[,1]", "[1]]", "[1] 2", "[\"a]", "[[1]", "{}", "1"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !split_json_array(text).ok());
        }
        for (const std::string text : {"", "{", "{a:1}", "{\"a\"}", "{\"a\":}", "{\"a\":1,}",
                                       "{\"a\":1", "{\"a\":1}x", "[]"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !split_json_object(text).ok());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(base_json_text_test);

} // namespace snipespar
