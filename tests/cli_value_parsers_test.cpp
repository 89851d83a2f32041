#include "cli/value_parsers.h"

#include <chrono>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace snipespar::cli {

using namespace std::chrono_literals;

class cli_value_parsers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(cli_value_parsers_test);
    CPPUNIT_TEST(durations_need_a_unit_and_fit);
    CPPUNIT_TEST(byte_sizes_are_binary_and_fit);
    CPPUNIT_TEST(addresses_are_numeric_with_a_port);
    CPPUNIT_TEST(only_listeners_take_port_zero);
    CPPUNIT_TEST(lists_refuse_empty_and_repeated_parts);
    CPPUNIT_TEST(names_and_numbers_refuse_other_text);
    CPPUNIT_TEST_SUITE_END();

public:
    void durations_need_a_unit_and_fit()
    {
        CPPUNIT_ASSERT(duration(250ms) == parse_duration("250ms").value());
        CPPUNIT_ASSERT(duration(10s) == parse_duration("10s").value());
        CPPUNIT_ASSERT(duration(2h) == parse_duration("2h").value());
        for (const std::string bad :
             {"", "10", "ms", "0s", "-1s", "+1s", " 1s", "1 s", "1.5s", "1S", "1sec",
              "9223372036854775807s", "99999999999999999999us"}) {
            CPPUNIT_ASSERT_MESSAGE(bad, !parse_duration(bad).ok());
        }
    }

    void byte_sizes_are_binary_and_fit()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{512}, parse_byte_size("512").value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1} << 20U, parse_byte_size("1MiB").value());
        for (const std::string bad :
             {"", "0", "1MB", "1 MiB", "-1", "1e3", "KiB", "9999999999999GiB"}) {
            CPPUNIT_ASSERT_MESSAGE(bad, !parse_byte_size(bad).ok());
        }
    }

    void addresses_are_numeric_with_a_port()
    {
        CPPUNIT_ASSERT((endpoint{"127.0.0.1", 8080}) == parse_endpoint("127.0.0.1:8080").value());
        CPPUNIT_ASSERT((endpoint{"::1", 8080}) == parse_endpoint("[::1]:8080").value());
        CPPUNIT_ASSERT_EQUAL(std::string("[::1]:8080"), (endpoint{"::1", 8080}.str()));
        for (const std::string bad :
             {"", ":", "127.0.0.1", "127.0.0.1:", ":8080", "localhost:8080", "127.0.0.1:65536",
              "127.0.0.1:-1", "127.0.0.1:80a", "::1:8080", "[127.0.0.1]:8080", "[::1]",
              "256.0.0.1:80", "127.0.0.1:80 "}) {
            CPPUNIT_ASSERT_MESSAGE(bad, !parse_endpoint(bad).ok());
        }
    }

    void only_listeners_take_port_zero()
    {
        CPPUNIT_ASSERT(parse_listen_endpoint("127.0.0.1:0").ok());
        CPPUNIT_ASSERT(!parse_endpoint("127.0.0.1:0").ok());
    }

    void lists_refuse_empty_and_repeated_parts()
    {
        CPPUNIT_ASSERT(parse_endpoint_list("").value().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             parse_endpoint_list("127.0.0.1:1,127.0.0.1:2").value().size());
        for (const std::string bad : {",", "127.0.0.1:1,", ",127.0.0.1:1",
                                      "127.0.0.1:1,,127.0.0.1:2", "127.0.0.1:1,127.0.0.1:1"}) {
            CPPUNIT_ASSERT_MESSAGE(bad, !parse_endpoint_list(bad).ok());
        }
    }

    void names_and_numbers_refuse_other_text()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("lk-west.a_1"), parse_name("lk-west.a_1").value());
        for (const std::string& bad : {std::string(), std::string("a b"), std::string("a/b"),
                                       std::string("\xc3\xa9"), std::string(64, 'a')}) {
            CPPUNIT_ASSERT_MESSAGE(bad, !parse_name(bad).ok());
        }
        CPPUNIT_ASSERT_EQUAL(std::string("/a?b=%20"), parse_request_path("/a?b=%20").value());
        for (const std::string& bad : {std::string(), std::string("a/b"), std::string("/a b"),
                                       std::string("/\xff"), "/" + std::string(700, 'a')}) {
            CPPUNIT_ASSERT_MESSAGE(bad, !parse_request_path(bad).ok());
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), parse_request_text("").value());
        CPPUNIT_ASSERT(!parse_number("18446744073709551616").ok());
        CPPUNIT_ASSERT(!parse_number("0x10").ok());
        CPPUNIT_ASSERT(!parse_thread_count("0").ok());
        CPPUNIT_ASSERT(!parse_thread_count("1025").ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cli_value_parsers_test);

} // namespace snipespar::cli
