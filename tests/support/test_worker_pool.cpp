#include "support/test_worker_pool.h"

#include "support/test_selection.h"
#include "support/unnamed_file.h"

#include <chrono>
#include <cppunit/Exception.h>
#include <cppunit/SourceLine.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestListener.h>
#include <cppunit/TestResult.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fmt/core.h>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace snipespar {

namespace {

// Whether to print the begin and the duration of each test.
bool is_verbose()
{
    return std::getenv("SNIPESPAR_TEST_VERBOSE") != nullptr;
}

// Prints failures and collects results by test name.
class verdict_listener : public CppUnit::TestListener {
public:
    void startTest(CppUnit::Test* test) override
    {
        current_failed_ = false;
        if (is_verbose()) {
            fmt::print(stderr, "run {}\n", test->getName());
        }
    }

    void addFailure(const CppUnit::TestFailure& failure) override
    {
        current_failed_ = true;
        fmt::print("FAIL {} ({}:{})\n{}\n", failure.failedTestName(),
                   failure.sourceLine().fileName(), failure.sourceLine().lineNumber(),
                   failure.thrownException()->what());
    }

    void endTest(CppUnit::Test* test) override
    {
        (current_failed_ ? verdicts_.failed : verdicts_.passed).push_back(test->getName());
    }

    const test_verdicts& verdicts() const { return verdicts_; }

private:
    bool current_failed_ = false;
    test_verdicts verdicts_;
};

// A test and its child process.
struct test_run {
    std::string name;
    // Receives the output of the child; none before its start and once printed.
    std::unique_ptr<unnamed_file> output;
    std::optional<int> status;
    std::chrono::steady_clock::time_point start;
    std::chrono::steady_clock::time_point end;
};

bool is_success(int status)
{
    return WIFEXITED(status) && WEXITSTATUS(status) == EXIT_SUCCESS;
}

test_verdicts run_tests(const std::vector<CppUnit::Test*>& tests)
{
    CppUnit::TestResult result;
    verdict_listener listener;
    result.addListener(&listener);
    for (auto* test : tests) {
        test->run(&result);
    }
    return listener.verdicts();
}

// Forks a child that runs `work`, which returns its exit code, with its output in `output`. The
// exit is an ordinary one, so that leaks are looked for.
template <class Work>
pid_t start_child(const unnamed_file& output, Work work)
{
    std::fflush(nullptr);
    const pid_t parent = getpid();
    const pid_t child = fork();
    if (child < 0) {
        throw std::runtime_error("fork failed");
    }
    if (child == 0) {
        // Whoever kills the runner ends its children too, also if it died before this line.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(EXIT_FAILURE);
        }
        dup2(output.descriptor(), STDOUT_FILENO);
        dup2(output.descriptor(), STDERR_FILENO);
        std::setvbuf(stdout, nullptr, _IONBF, 0);
        std::exit(work());
    }
    return child;
}

// Has a child list the tests, so that this process makes no fixtures.
std::vector<test_run> list_tests(std::string_view only)
{
    const unnamed_file output;
    const pid_t child = start_child(output, [only] {
        const test_selection selection(only);
        for (const auto* test : selection.tests()) {
            fmt::print("{}\n", test->getName());
        }
        return EXIT_SUCCESS;
    });
    int status = 0;
    const bool is_listed = waitpid(child, &status, 0) == child && is_success(status);
    const auto text = output.text();
    if (!is_listed) {
        throw std::runtime_error("cannot list the tests: " + text);
    }
    std::vector<test_run> runs;
    std::istringstream lines(text);
    for (std::string name; std::getline(lines, name);) {
        runs.push_back({name, nullptr, std::nullopt, {}, {}});
    }
    return runs;
}

// Indices of the tests whose name contains `first`, if any, and then of all others.
std::vector<std::size_t> start_order(const std::vector<test_run>& runs, std::string_view first)
{
    std::vector<std::size_t> order;
    for (const bool is_first : {true, false}) {
        for (std::size_t i = 0; i < runs.size(); ++i) {
            const bool matches = !first.empty() && runs[i].name.find(first) != std::string::npos;
            if (matches == is_first) {
                order.push_back(i);
            }
        }
    }
    return order;
}

// Prints the output of an ended child, and how it ended if that is not how a failed test ends.
void print_result(test_run& run)
{
    fmt::print("{}", run.output->text());
    run.output.reset();
    const int status = *run.status;
    if (WIFSIGNALED(status)) {
        fmt::print("FAIL {}: ended by signal {}\n", run.name, WTERMSIG(status));
    }
    else if (WEXITSTATUS(status) != EXIT_SUCCESS && WEXITSTATUS(status) != EXIT_FAILURE) {
        fmt::print("FAIL {}: exit code {}\n", run.name, WEXITSTATUS(status));
    }
    if (is_verbose()) {
        fmt::print(
            "{} took {} ms\n", run.name,
            std::chrono::duration_cast<std::chrono::milliseconds>(run.end - run.start).count());
    }
    std::fflush(stdout);
}

} // namespace

test_verdicts run_in_turn(std::string_view only)
{
    const test_selection selection(only);
    return run_tests(selection.tests());
}

test_verdicts run_in_workers(std::string_view only, std::string_view first, std::size_t jobs)
{
    auto runs = list_tests(only);
    const auto order = start_order(runs, first);
    test_verdicts verdicts;
    std::map<pid_t, std::size_t> running;
    std::size_t next = 0;
    std::size_t printed = 0;
    while (printed < runs.size()) {
        while (next < order.size() && running.size() < jobs) {
            const auto index = order[next++];
            auto& run = runs[index];
            run.output = std::make_unique<unnamed_file>();
            run.start = std::chrono::steady_clock::now();
            const pid_t child = start_child(*run.output, [only, index] {
                const test_selection selection(only);
                return run_tests({selection.tests().at(index)}).failed.empty() ? EXIT_SUCCESS
                                                                               : EXIT_FAILURE;
            });
            running[child] = index;
        }
        int status = 0;
        const auto ended = running.find(waitpid(-1, &status, 0));
        if (ended == running.end()) {
            throw std::runtime_error("waitpid failed");
        }
        runs[ended->second].status = status;
        runs[ended->second].end = std::chrono::steady_clock::now();
        running.erase(ended);
        for (; printed < runs.size() && runs[printed].status; ++printed) {
            auto& run = runs[printed];
            print_result(run);
            (is_success(*run.status) ? verdicts.passed : verdicts.failed).push_back(run.name);
        }
    }
    return verdicts;
}

} // namespace snipespar
