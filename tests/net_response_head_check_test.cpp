#include "net/response_head_check.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstddef>
#include <fmt/format.h>
#include <string>
#include <string_view>

namespace snipespar::net {

namespace {

struct outcome {
    bool is_sound = false;
    std::size_t taken = 0;
};

// Takes the bytes in pieces of this size.
outcome check(std::string_view bytes, std::size_t piece,
              response_head_check head = response_head_check())
{
    outcome result;
    for (std::size_t at = 0; at < bytes.size() && !head.is_complete(); at += piece) {
        boost::beast::error_code error;
        result.taken += head.add(bytes.substr(at, piece), error);
        if (error) {
            return result;
        }
    }
    result.is_sound = head.is_complete();
    return result;
}

std::string with_status(std::string_view status)
{
    return fmt::format("HTTP/1.1 {} Reason\r\nX-A: y\r\n\r\n", status);
}

} // namespace

class net_response_head_check_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(net_response_head_check_test);
    CPPUNIT_TEST(status_is_from_100_to_599);
    CPPUNIT_TEST(lines_are_checked_in_any_pieces);
    CPPUNIT_TEST(trailers_have_no_status_line);
    CPPUNIT_TEST(head_ends_at_its_empty_line);
    CPPUNIT_TEST_SUITE_END();

public:
    void status_is_from_100_to_599()
    {
        for (int status = 0; status <= 999; ++status) {
            const auto text = fmt::format("{:03}", status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, status >= 100 && status <= 599,
                                         check(with_status(text), 1).is_sound);
        }
        for (const std::string text : {"20", "2000", "+20", "-20", "2 0", "2x0", "", " 200"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !check(with_status(text), 1).is_sound);
        }
        CPPUNIT_ASSERT(check("HTTP/1.1 200\r\n\r\n", 1).is_sound);
        CPPUNIT_ASSERT(check("HTTP/1.1 200 \r\n\r\n", 1).is_sound);
        CPPUNIT_ASSERT(!check("HTTP/1.1\r\n\r\n", 1).is_sound);
        CPPUNIT_ASSERT(!check("\r\n\r\n", 1).is_sound);
    }

    void lines_are_checked_in_any_pieces()
    {
        using std::string_literals::operator""s;
        const std::string status = "HTTP/1.1 200 OK\r\n";
        for (std::size_t piece = 1; piece <= 40; ++piece) {
            for (const auto& lines :
                 {""s, "X-A: y\r\n"s, "X-A:\r\n"s, "!#$%&'*+-.^_`|~09aZ: y\tz \351\r\nB: c\r\n"s}) {
                CPPUNIT_ASSERT_MESSAGE(lines, check(status + lines + "\r\n", piece).is_sound);
            }
            for (const auto& line :
                 {" X-A: y\r\n"s, "\tX-A: y\r\n"s, " \r\n"s, "X A: y\r\n"s, "X-A : y\r\n"s,
                  ": y\r\n"s, "X-A\r\n"s, "X\0A: y\r\n"s, "X\1: y\r\n"s, "X\177: y\r\n"s,
                  "X\351: y\r\n"s, "X(: y\r\n"s, "X-A: \0\r\n"s, "X-A: \1\r\n"s, "X-A: \177\r\n"s,
                  "X-A: y\rz\r\n"s, "X-A: y\n"s}) {
                for (const auto& start : {status, status + "B: c\r\n"}) {
                    CPPUNIT_ASSERT_MESSAGE(line, !check(start + line + "\r\n", piece).is_sound);
                }
            }
        }
    }

    void trailers_have_no_status_line()
    {
        const auto trailers = [] { return response_head_check::of_trailers(); };
        CPPUNIT_ASSERT(check("\r\n", 1, trailers()).is_sound);
        CPPUNIT_ASSERT(check("X-A: y\r\n\r\n", 3, trailers()).is_sound);
        CPPUNIT_ASSERT(!check(" X-A: y\r\n\r\n", 1, trailers()).is_sound);
        CPPUNIT_ASSERT(!check("X-A: y\r\n z\r\n\r\n", 1, trailers()).is_sound);
    }

    void head_ends_at_its_empty_line()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nX-A: y\r\n\r\n";
        const auto result = check(head + " body", head.size() + 5);
        CPPUNIT_ASSERT(result.is_sound);
        CPPUNIT_ASSERT_EQUAL(head.size(), result.taken);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(net_response_head_check_test);

} // namespace snipespar::net
