#include "process/support/process_memory.h"

#include "process/support/child_process.h"

#include <fmt/format.h>
#include <fstream>
#include <string>

namespace snipespar::testing {

#if defined(__has_feature)
#if __has_feature(address_sanitizer) || __has_feature(thread_sanitizer)
#define SNIPESPAR_TEST_HAS_SANITIZER 1
#endif
#endif
#ifdef SNIPESPAR_TEST_HAS_SANITIZER
const bool is_memory_comparable = false;
#else
const bool is_memory_comparable = true;
#endif

long peak_memory_kb(const child_process& process)
{
    std::ifstream status(fmt::format("/proc/{}/status", process.id()));
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmHWM:")) {
            return std::stol(line.substr(line.find_first_of("0123456789")));
        }
    }
    return 0;
}

} // namespace snipespar::testing
