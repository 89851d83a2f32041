#include "process/support/child_process.h"

#include "process/support/wait_until.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fmt/core.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace snipespar::testing {

namespace {

constexpr int signal_exit_base = 128;
constexpr int exec_failed = 127;
// The thread sanitizer's runtime writes small files of its own before main().
constexpr off_t full_file_bytes = off_t{1} << 26U;

// Null-terminated array of pointers into `texts`, as exec expects.
std::vector<char*> pointers(std::vector<std::string>& texts)
{
    std::vector<char*> result;
    result.reserve(texts.size() + 1);
    for (auto& text : texts) {
        result.push_back(text.data());
    }
    result.push_back(nullptr);
    return result;
}

std::vector<std::string> environment_of(const program_start& start)
{
    std::vector<std::string> list;
    for (const char* name : {"ASAN_OPTIONS", "UBSAN_OPTIONS", "TSAN_OPTIONS", "LSAN_OPTIONS"}) {
        if (const char* value = std::getenv(name); value != nullptr) {
            list.push_back(fmt::format("{}={}", name, value));
        }
    }
    for (const auto& [name, value] : start.environment) {
        list.push_back(fmt::format("{}={}", name, value));
    }
    return list;
}

// Detects a sanitizer report; the exit code may equal that of an ordinary failure.
bool has_sanitizer_report(const std::string& output)
{
    for (const char* mark : {"ERROR: AddressSanitizer", "ERROR: LeakSanitizer",
                             "WARNING: ThreadSanitizer", ": runtime error: "}) {
        if (output.find(mark) != std::string::npos) {
            return true;
        }
    }
    return false;
}

int to_exit_code(int status)
{
    return WIFSIGNALED(status) ? signal_exit_base + WTERMSIG(status) : WEXITSTATUS(status);
}

// Called in the forked child.
void redirect_output(program_output kind, const std::array<int, 2>& pipe)
{
    if (kind == program_output::closed) {
        close(STDOUT_FILENO);
        close(STDERR_FILENO);
        return;
    }
    if (kind == program_output::full_file) {
        const int file = open("/tmp", O_TMPFILE | O_RDWR | O_CLOEXEC, S_IRUSR | S_IWUSR);
        if (ftruncate(file, full_file_bytes) != 0 || lseek(file, 0, SEEK_END) < 0) {
            _exit(exec_failed);
        }
        const rlimit limit{full_file_bytes, full_file_bytes};
        setrlimit(RLIMIT_FSIZE, &limit);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        return;
    }
    if (kind == program_output::reader_gone) {
        std::array<int, 2> abandoned{};
        if (pipe2(abandoned.data(), O_CLOEXEC) == 0) {
            dup2(abandoned[1], STDOUT_FILENO);
            dup2(abandoned[1], STDERR_FILENO);
        }
        return;
    }
    dup2(pipe[1], STDOUT_FILENO);
    dup2(pipe[1], STDERR_FILENO);
}

void limit_descriptors(std::size_t count)
{
    const rlimit limit{count, count};
    if (count != 0) {
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

} // namespace

std::string program_path(const std::string& name)
{
    const auto self = std::filesystem::read_symlink("/proc/self/exe");
    return (self.parent_path().parent_path() / name).string();
}

child_process::child_process(const program_start& start)
{
    std::vector<std::string> arguments{program_path(start.program)};
    arguments.insert(arguments.end(), start.arguments.begin(), start.arguments.end());
    auto variables = environment_of(start);
    const auto argument_pointers = pointers(arguments);
    const auto variable_pointers = pointers(variables);
    std::array<int, 2> output{};
    if (pipe2(output.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("pipe2 failed");
    }

    id_ = fork();
    if (id_ == 0) {
        // Only async-signal-safe calls are allowed after fork() in a multithreaded process.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        redirect_output(start.output, output);
        limit_descriptors(start.max_descriptors);
        execve(argument_pointers[0], argument_pointers.data(), variable_pointers.data());
        _exit(exec_failed);
    }
    close(output[1]);
    if (id_ < 0) {
        close(output[0]);
        throw std::runtime_error("fork failed");
    }
    reader_ = std::thread([this, descriptor = output[0]] { read_output(descriptor); });
}

child_process::~child_process()
{
    kill();
    join_reader();
    if (has_sanitizer_report(output_)) {
        // A destructor cannot fail a test, so the report is printed here.
        fmt::print(stderr, "FAIL sanitizer report of a child process\n{}\n", output_);
        std::abort();
    }
}

void child_process::signal(int number) const
{
    if (!status_) {
        ::kill(id_, number);
    }
}

void child_process::kill()
{
    signal(SIGKILL);
    wait();
}

std::optional<int> child_process::wait(std::chrono::milliseconds limit)
{
    if (wait_until([this] { return !running(); }, limit)) {
        join_reader();
    }
    return status_;
}

// The pipe ends with the process, which starts no others, so that the reader ends soon after it.
void child_process::join_reader()
{
    if (reader_.joinable()) {
        reader_.join();
    }
}

bool child_process::running()
{
    int status = 0;
    if (!status_ && waitpid(id_, &status, WNOHANG) == id_) {
        status_ = to_exit_code(status);
    }
    return !status_;
}

std::string child_process::output() const
{
    const std::lock_guard lock(mutex_);
    return output_;
}

bool child_process::wait_for_output(const std::string& text, std::chrono::milliseconds limit)
{
    const auto seen = [&] { return output().find(text) != std::string::npos; };
    wait_until([&] { return seen() || !running(); }, limit);
    return wait_until(seen, running() ? std::chrono::milliseconds(0) : std::chrono::seconds(1));
}

void child_process::read_output(int descriptor)
{
    std::array<char, 4096> chunk{};
    for (auto size = read(descriptor, chunk.data(), chunk.size()); size > 0;
         size = read(descriptor, chunk.data(), chunk.size())) {
        const std::lock_guard lock(mutex_);
        output_.append(chunk.data(), static_cast<std::size_t>(size));
    }
    close(descriptor);
}

} // namespace snipespar::testing
