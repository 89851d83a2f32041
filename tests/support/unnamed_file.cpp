#include "support/unnamed_file.h"

#include <array>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <stdexcept>
#include <unistd.h>

namespace snipespar {

unnamed_file::unnamed_file()
{
    std::string name = (std::filesystem::temp_directory_path() / "test-output-XXXXXX").string();
    descriptor_ = mkostemp(name.data(), O_CLOEXEC | O_APPEND);
    if (descriptor_ < 0) {
        throw std::runtime_error("no temporary file for the output of a test");
    }
    unlink(name.c_str());
}

unnamed_file::~unnamed_file()
{
    close(descriptor_);
}

std::string unnamed_file::text() const
{
    std::string text;
    std::array<char, 4096> chunk{};
    for (auto size = pread(descriptor_, chunk.data(), chunk.size(), 0); size > 0;
         size = pread(descriptor_, chunk.data(), chunk.size(), static_cast<off_t>(text.size()))) {
        text.append(chunk.data(), static_cast<std::size_t>(size));
    }
    return text;
}

} // namespace snipespar
