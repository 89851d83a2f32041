#pragma once

#include "snipespar/finding.h"

#include <string>
#include <string_view>
#include <yaml-cpp/mark.h>

namespace snipespar::config {

/// Collects the faults of one YAML file, each with its place as `file:line:column`.
class placed_findings {
public:
    explicit placed_findings(std::string_view file) : file_(file) {}

    /// Formats a parser position; lines and columns count from 1.
    std::string place(const YAML::Mark& mark) const;

    void add(const YAML::Mark& mark, std::string message);
    void add(finding item) { list_.push_back(std::move(item)); }

    const findings& list() const { return list_; }

private:
    std::string file_;
    findings list_;
};

} // namespace snipespar::config
