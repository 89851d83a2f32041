#include "sidecar/round_loop.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <exception>
#include <functional>
#include <stdexcept>

namespace snipespar::sidecar {

namespace {

namespace asio = boost::asio;

/// A loop of this many rounds whose parts may fail.
struct failing_loop {
    int rounds = 0;
    int failures = 0;
    bool has_ended_by_exception = false;
    /// Run by each round, pause and report of a failure.
    std::function<void()> in_round = [] {};
    std::function<void()> in_pause = [] {};
    std::function<void()> in_report = [] {};

    void run(asio::io_context& io, int count)
    {
        asio::co_spawn(
            io,
            run_rounds(
                [this]() -> asio::awaitable<void> {
                    ++rounds;
                    in_round();
                    co_return;
                },
                [this]() -> asio::awaitable<void> {
                    in_pause();
                    co_return;
                },
                [this, count] { return rounds < count; },
                [this](const std::exception&) {
                    ++failures;
                    in_report();
                }),
            [this](const std::exception_ptr& error) { has_ended_by_exception = error != nullptr; });
        io.run();
    }
};

void fail()
{
    throw std::runtime_error("out of memory");
}

} // namespace

class sidecar_round_loop_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sidecar_round_loop_test);
    CPPUNIT_TEST(failing_round_ends_only_itself);
    CPPUNIT_TEST(failing_pause_does_not_end_the_loop);
    CPPUNIT_TEST(failing_report_does_not_end_the_loop);
    CPPUNIT_TEST(failing_loop_lets_others_run);
    CPPUNIT_TEST_SUITE_END();

public:
    void failing_round_ends_only_itself()
    {
        asio::io_context io;
        failing_loop loop;
        loop.in_round = fail;
        loop.run(io, 3);
        CPPUNIT_ASSERT(!loop.has_ended_by_exception);
        CPPUNIT_ASSERT_EQUAL(3, loop.failures);
    }

    // Guards against a sidecar that lives on without rounds after its wait failed.
    void failing_pause_does_not_end_the_loop()
    {
        asio::io_context io;
        failing_loop loop;
        loop.in_pause = fail;
        loop.run(io, 3);
        CPPUNIT_ASSERT(!loop.has_ended_by_exception);
        CPPUNIT_ASSERT_EQUAL(3, loop.rounds);
        CPPUNIT_ASSERT_EQUAL(3, loop.failures);
    }

    // Guards against the same by an exception of the log.
    void failing_report_does_not_end_the_loop()
    {
        asio::io_context io;
        failing_loop loop;
        loop.in_round = fail;
        loop.in_report = fail;
        loop.run(io, 3);
        CPPUNIT_ASSERT(!loop.has_ended_by_exception);
        CPPUNIT_ASSERT_EQUAL(3, loop.rounds);
    }

    // Guards against a loop that holds the process's only thread while its wait fails.
    void failing_loop_lets_others_run()
    {
        asio::io_context io;
        failing_loop loop;
        loop.in_pause = fail;
        int others_ran_at = 0;
        loop.in_round = [&] {
            if (loop.rounds == 1) {
                asio::post(io, [&] { others_ran_at = loop.rounds; });
            }
        };
        loop.run(io, 3);
        CPPUNIT_ASSERT_EQUAL(1, others_ran_at);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sidecar_round_loop_test);

} // namespace snipespar::sidecar
