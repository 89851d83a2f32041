#include "config/placed_findings.h"

#include <fmt/core.h>

namespace snipespar::config {

std::string placed_findings::place(const YAML::Mark& mark) const
{
    if (mark.is_null()) {
        return fmt::format("{}:1:1", file_);
    }
    return fmt::format("{}:{}:{}", file_, mark.line + 1, mark.column + 1);
}

void placed_findings::add(const YAML::Mark& mark, std::string message)
{
    list_.push_back({place(mark), std::move(message)});
}

} // namespace snipespar::config
