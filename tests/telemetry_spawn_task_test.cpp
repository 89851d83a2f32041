#include "telemetry/spawn_task.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <stdexcept>
#include <string>
#include <vector>

namespace snipespar::telemetry {

namespace asio = boost::asio;

/// Coroutines for whose end nothing waits.
class telemetry_spawn_task_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(telemetry_spawn_task_test);
    CPPUNIT_TEST(exception_that_ends_a_task_is_logged);
    CPPUNIT_TEST(exception_of_another_type_is_logged);
    CPPUNIT_TEST(task_that_completes_is_not_logged);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a task that ends without a trace while its process goes on.
    void exception_that_ends_a_task_is_logged()
    {
        spawn_task(io_, log_, "accept", []() -> asio::awaitable<void> {
            co_await asio::post(asio::use_awaitable);
            throw std::length_error("too long");
        });
        io_.run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines_.size());
        CPPUNIT_ASSERT(
            lines_[0].ends_with("level=error event=task_failed task=accept reason=\"too long\"\n"));
    }

    void exception_of_another_type_is_logged()
    {
        spawn_task(io_, log_, "accept", []() -> asio::awaitable<void> {
            co_await asio::post(asio::use_awaitable);
            throw 1; // NOLINT(hicpp-exception-baseclass)
        });
        io_.run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines_.size());
        CPPUNIT_ASSERT(lines_[0].find("event=task_failed task=accept") != std::string::npos);
    }

    void task_that_completes_is_not_logged()
    {
        int runs = 0;
        const auto task = [&]() -> asio::awaitable<void> {
            co_await asio::post(asio::use_awaitable);
            ++runs;
        };
        spawn_task(io_.get_executor(), log_, "function", task);
        spawn_task(io_, log_, "awaitable", task());
        io_.run();
        CPPUNIT_ASSERT_EQUAL(2, runs);
        CPPUNIT_ASSERT(lines_.empty());
    }

private:
    asio::io_context io_{1};
    std::vector<std::string> lines_;
    logger log_{[this](std::string_view line) { lines_.emplace_back(line); }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(telemetry_spawn_task_test);

} // namespace snipespar::telemetry
