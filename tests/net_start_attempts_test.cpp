#include "net/start_attempts.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <stdexcept>
#include <string>
#include <vector>

namespace snipespar::net {

class net_start_attempts_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(net_start_attempts_test);
    CPPUNIT_TEST(nothing_is_started_before_the_context_runs);
    CPPUNIT_TEST(failed_attempt_is_repeated_until_it_succeeds);
    CPPUNIT_TEST(attempt_that_can_never_succeed_is_not_repeated);
    CPPUNIT_TEST(exception_ends_the_start);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a process that can be seen before it handles signals, and that a stop ends
    // with the signal's exit code.
    void nothing_is_started_before_the_context_runs()
    {
        boost::asio::io_context io;
        int attempts_made = 0;
        const start_attempts attempts(io, {.start =
                                               [&] {
                                                   ++attempts_made;
                                                   return absl::OkStatus();
                                               },
                                           .waiting = [](const auto&) {},
                                           .failed = [](const auto&) {}});
        CPPUNIT_ASSERT_EQUAL(0, attempts_made);
        CPPUNIT_ASSERT(!attempts.is_started());
        io.run();
        CPPUNIT_ASSERT_EQUAL(1, attempts_made);
        CPPUNIT_ASSERT(attempts.is_started());
    }

    void failed_attempt_is_repeated_until_it_succeeds()
    {
        constexpr int failures = 3;
        boost::asio::io_context io;
        int attempts_made = 0;
        std::vector<std::string> reasons;
        const start_attempts attempts(
            io,
            {.start =
                 [&] {
                     return ++attempts_made > failures ? absl::OkStatus()
                                                       : absl::UnavailableError("held");
                 },
             .waiting = [&](const auto& status) { reasons.emplace_back(status.message()); },
             .failed = [](const auto&) { CPPUNIT_FAIL("an address that is held is no failure"); }});
        io.run();
        CPPUNIT_ASSERT_EQUAL(failures + 1, attempts_made);
        CPPUNIT_ASSERT(attempts.is_started());
        // Only the first of several failures in a short time is reported.
        CPPUNIT_ASSERT(reasons == std::vector<std::string>{"held"});
    }

    void attempt_that_can_never_succeed_is_not_repeated()
    {
        boost::asio::io_context io;
        int attempts_made = 0;
        int failures = 0;
        const start_attempts attempts(
            io, {.start =
                     [&] {
                         ++attempts_made;
                         return absl::FailedPreconditionError("no such address");
                     },
                 .waiting = [](const auto&) { CPPUNIT_FAIL("nothing is waited for"); },
                 .failed = [&](const auto&) { ++failures; }});
        io.run();
        CPPUNIT_ASSERT_EQUAL(1, attempts_made);
        CPPUNIT_ASSERT_EQUAL(1, failures);
        CPPUNIT_ASSERT(!attempts.is_started());
    }

    // Guards against a process that lives on without having started.
    void exception_ends_the_start()
    {
        boost::asio::io_context io;
        std::vector<std::string> reasons;
        const start_attempts attempts(
            io, {.start = []() -> absl::Status { throw std::runtime_error("no memory"); },
                 .waiting = [](const auto&) { CPPUNIT_FAIL("nothing is waited for"); },
                 .failed = [&](const auto& status) { reasons.emplace_back(status.message()); }});
        io.run();
        CPPUNIT_ASSERT(reasons == std::vector<std::string>{"no memory"});
        CPPUNIT_ASSERT(!attempts.is_started());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(net_start_attempts_test);

} // namespace snipespar::net
