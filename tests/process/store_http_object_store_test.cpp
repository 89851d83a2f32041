#include "store/http_object_store.h"

#include "process/support/raw_upstream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <optional>
#include <string>
#include <utility>

namespace snipespar::store {

namespace {

namespace asio = boost::asio;

asio::awaitable<void> perform(http_object_store& store, request call,
                              std::optional<object_reply>& result)
{
    result = co_await store.perform(std::move(call));
}

object_reply reply_to(request call, const std::string& body)
{
    constexpr auto limit = std::chrono::seconds(5);
    const testing::raw_upstream server(
        {{fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body)}});
    asio::io_context context;
    http_object_store store(server.address().ip, server.address().port, limit);
    std::optional<object_reply> result;
    asio::co_spawn(context, perform(store, std::move(call), result), asio::detached);
    context.run_for(limit);
    CPPUNIT_ASSERT(result.has_value());
    return *std::move(result);
}

} // namespace

/// Lists of the platform with items that cannot be read.
class store_http_object_store_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_http_object_store_test);
    CPPUNIT_TEST(host_that_cannot_be_read_is_left_out_alone);
    CPPUNIT_TEST(object_that_cannot_be_read_is_left_out_alone);
    CPPUNIT_TEST(list_that_cannot_be_read_is_an_error);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against entries that know no other one because of one odd host.
    void host_that_cannot_be_read_is_left_out_alone()
    {
        const std::string host =
            R"({"host":"h1","failure_domain":"a","address":"10.0.0.1:1","role":"entry","leaving":false})";
        for (const std::string odd :
             {"7", "\"\xff\"", R"({"host":})", "null", "{}", R"({"host":7})",
              R"({"host":"x","failure_domain":"a","role":"entry"})"}) {
            const auto reply =
                reply_to(list_hosts{}, fmt::format(R"({{"hosts":[{0},{1},{0}]}})", odd, host));
            CPPUNIT_ASSERT_MESSAGE(odd, reply.status.ok());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, std::size_t{1}, reply.hosts.size());
            CPPUNIT_ASSERT_EQUAL(std::string("h1"), reply.hosts[0].host.str());
        }
    }

    void object_that_cannot_be_read_is_left_out_alone()
    {
        const auto reply = reply_to(
            list_objects{"part/"},
            R"({"objects":[{"key":7,"revision":1},{"key":"a","revision":3},{"key":"b","revision":-1}]})");
        CPPUNIT_ASSERT(reply.status.ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reply.objects.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), reply.objects[0].key);
    }

    void list_that_cannot_be_read_is_an_error()
    {
        for (const std::string body : {"", "7", R"({"hosts":7})", R"({"hosts":[)"}) {
            CPPUNIT_ASSERT_MESSAGE(body, !reply_to(list_hosts{}, body).status.ok());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_http_object_store_test);

} // namespace snipespar::store
