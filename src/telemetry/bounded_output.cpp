#include "telemetry/bounded_output.h"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace snipespar::telemetry {

bounded_output::bounded_output(int descriptor, double lines_per_s, double burst)
    : descriptor_(descriptor), lines_per_s_(lines_per_s), burst_(burst), available_(burst),
      refilled_(std::chrono::steady_clock::now())
{
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
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
    if (::write(descriptor_, line.data(), line.size()) < 0) {
        ++dropped_;
    }
}

} // namespace snipespar::telemetry
