#include "telemetry/bounded_output.h"

#include <algorithm>
#include <climits>
#include <fcntl.h>
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

namespace snipespar::telemetry {

namespace {

// O_NONBLOCK belongs to the open file, which other processes may share, so a pipe or terminal is
// opened again. Negative if that is not possible.
int open_again(int descriptor)
{
    const auto path = fmt::format("/proc/self/fd/{}", descriptor);
    return ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC | O_NOCTTY);
}

// A pipe with room takes PIPE_BUF bytes without blocking.
bool has_room(int descriptor)
{
    pollfd item{descriptor, POLLOUT, 0};
    return ::poll(&item, 1, 0) == 1 && item.revents == POLLOUT;
}

} // namespace

bounded_output::bounded_output(int descriptor, double lines_per_s, double burst)
    : descriptor_(descriptor), lines_per_s_(lines_per_s), burst_(burst), available_(burst),
      refilled_(std::chrono::steady_clock::now())
{
    struct stat status{};
    if (::fstat(descriptor, &status) != 0 || S_ISREG(status.st_mode)) {
        return;
    }
    if (S_ISSOCK(status.st_mode)) {
        access_ = access::socket;
        return;
    }
    if (const int opened = open_again(descriptor); opened >= 0) {
        descriptor_ = opened;
        owns_descriptor_ = true;
        return;
    }
    access_ = access::polled;
}

bounded_output::~bounded_output()
{
    if (owns_descriptor_) {
        ::close(descriptor_);
    }
}

void bounded_output::write(std::string_view line)
{
    const auto now = std::chrono::steady_clock::now();
    const double elapsed_s = std::chrono::duration<double>(now - refilled_).count();
    available_ = std::min(available_ + elapsed_s * lines_per_s_, burst_);
    refilled_ = now;
    if (available_ < 1) {
        ++dropped_;
        return;
    }
    available_ -= 1;
    if (!put(line)) {
        ++dropped_;
    }
}

bool bounded_output::put(std::string_view line) const
{
    switch (access_) {
    case access::direct:
        return ::write(descriptor_, line.data(), line.size()) >= 0;
    case access::socket:
        return ::send(descriptor_, line.data(), line.size(), MSG_DONTWAIT | MSG_NOSIGNAL) >= 0;
    case access::polled:
        return line.size() <= PIPE_BUF && has_room(descriptor_) &&
               ::write(descriptor_, line.data(), line.size()) >= 0;
    }
    return false;
}

} // namespace snipespar::telemetry
