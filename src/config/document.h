#pragma once

#include "config/snapshot.h"
#include "snipespar/finding.h"

#include <string_view>
#include <variant>

namespace snipespar::config {

/// The operators' document of one environment, checked whole. It holds everything but the keys,
/// which are issued and withdrawn beside it; its snapshot has version 0.
class document {
public:
    /// Reads YAML text. Returns every fault found, with its place as `file:line:column`, or the
    /// document when there is none.
    static std::variant<document, findings> parse(std::string_view text, std::string_view file);

    const snapshot& content() const { return content_; }

    friend bool operator==(const document&, const document&) = default;

private:
    explicit document(snapshot content) : content_(std::move(content)) {}

    snapshot content_;
};

} // namespace snipespar::config
