#include "telemetry/end_report.h"

#include "telemetry/logger.h"

#include <array>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <string>
#include <sys/uio.h>
#include <tuple>
#include <unistd.h>
#include <vector>

namespace snipespar::telemetry {

namespace {

#if defined(__has_feature)
#if __has_feature(address_sanitizer) || __has_feature(thread_sanitizer)
#define SNIPESPAR_HAS_SANITIZER 1
#endif
#endif

std::string_view reported_role;
int reported_to = STDERR_FILENO;

std::string current_exception_text()
{
    const auto error = std::current_exception();
    if (error == nullptr) {
        return "terminate was called";
    }
    try {
        std::rethrow_exception(error);
    }
    catch (const std::exception& cause) {
        return cause.what();
    }
    catch (...) {
        return "an exception of unknown type";
    }
}

[[noreturn]] void on_terminate()
{
    const auto line =
        format_line(std::chrono::system_clock::now(), log_level::error, "ended_by_exception",
                    std::vector<log_field>{{"role", std::string(reported_role)},
                                           {"reason", current_exception_text()}});
    std::ignore = ::write(reported_to, line.data(), line.size());
    std::abort();
}

#ifndef SNIPESPAR_HAS_SANITIZER
std::string_view name_of(int number)
{
    switch (number) {
    case SIGSEGV:
        return "SIGSEGV";
    case SIGBUS:
        return "SIGBUS";
    case SIGFPE:
        return "SIGFPE";
    case SIGILL:
        return "SIGILL";
    case SIGABRT:
        return "SIGABRT";
    default:
        return "unknown";
    }
}

iovec part(std::string_view text)
{
    return {const_cast<char*>(text.data()), text.size()};
}

// Async-signal-safe, so it neither allocates nor reads the time.
void on_fatal_signal(int number)
{
    const std::array parts{part("level=error event=ended_by_signal role="), part(reported_role),
                           part(" signal="), part(name_of(number)), part("\n")};
    std::ignore = ::writev(reported_to, parts.data(), static_cast<int>(parts.size()));
    // The handler was reset when it was called, so that this ends the process.
    std::ignore = ::raise(number);
}

// An exhausted stack leaves no room for the handler, so it gets a stack of its own.
void install_signal_handlers()
{
    constexpr std::size_t stack_bytes = 64UL * 1024;
    static std::array<std::byte, stack_bytes> stack;
    stack_t alternate{};
    alternate.ss_sp = stack.data();
    alternate.ss_size = stack.size();
    std::ignore = ::sigaltstack(&alternate, nullptr);
    struct sigaction action{};
    action.sa_handler = on_fatal_signal;
    action.sa_flags = static_cast<int>(SA_RESETHAND) | SA_ONSTACK | SA_NODEFER;
    sigemptyset(&action.sa_mask);
    for (const int number : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT}) {
        std::ignore = ::sigaction(number, &action, nullptr);
    }
}
#endif

} // namespace

void report_abnormal_end(std::string_view role, int descriptor)
{
    reported_role = role;
    reported_to = descriptor;
    std::set_terminate(on_terminate);
#ifndef SNIPESPAR_HAS_SANITIZER
    install_signal_handlers();
#endif
}

} // namespace snipespar::telemetry
