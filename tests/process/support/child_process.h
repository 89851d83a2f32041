#pragma once

#include "support/http_probe.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace snipespar::testing {

/// Path of one of the project's programs, in the parent of the test program's folder.
std::string program_path(const std::string& name);

/// Where the standard output and error of a program go.
enum class program_output {
    captured,
    /// A pipe that nobody reads.
    reader_gone,
    /// Both descriptors are closed.
    closed,
    /// A file that has reached the largest size that the process may write.
    full_file,
};

/// Program to start, with its arguments and environment.
struct program_start {
    /// Name of one of the project's programs.
    std::string program;
    std::vector<std::string> arguments;
    /// Added to a minimal environment, which inherits only the sanitizer options.
    std::map<std::string, std::string> environment;
    program_output output = program_output::captured;
    /// Limit of open descriptors; 0 for that of the test program.
    std::size_t max_descriptors = 0;
};

/// A running program of the project. Captures its standard output and error; the process is killed
/// and reaped with the object, and killed when the test program exits.
class child_process {
public:
    explicit child_process(const program_start& start);
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    pid_t id() const { return id_; }

    /// Sends a signal, such as SIGSTOP; does nothing after the process was reaped.
    void signal(int number) const;

    /// Sends SIGKILL and waits for the process to exit.
    void kill();

    /// Waits for the process to exit and for the rest of its output. Returns the exit code, or 128
    /// plus the number of the signal that ended it; nullopt if it still runs after `limit`.
    std::optional<int> wait(std::chrono::milliseconds limit = wait_limit);

    bool running();

    /// All output so far.
    std::string output() const;

    /// Waits until the output contains `text`; false after `limit` or when the process has exited
    /// without printing it.
    bool wait_for_output(const std::string& text, std::chrono::milliseconds limit = wait_limit);

private:
    void join_reader();
    void read_output(int descriptor);

    pid_t id_ = -1;
    std::optional<int> status_;
    mutable std::mutex mutex_;
    std::string output_;
    std::thread reader_;
};

} // namespace snipespar::testing
