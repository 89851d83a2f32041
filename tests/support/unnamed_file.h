#pragma once

#include <string>

namespace snipespar {

/// A temporary file without a name, which goes with the object and the children that share it.
class unnamed_file {
public:
    /// Throws std::runtime_error if the folder of temporary files takes none.
    unnamed_file();
    unnamed_file(const unnamed_file&) = delete;
    unnamed_file& operator=(const unnamed_file&) = delete;
    ~unnamed_file();

    int descriptor() const { return descriptor_; }

    /// Everything written so far.
    std::string text() const;

private:
    int descriptor_ = -1;
};

} // namespace snipespar
