#pragma once

#include "config/snapshot.h"
#include "snipespar/finding.h"

#include <string_view>
#include <variant>

namespace snipespar::config {

/// The operators' document of one environment, fully validated. It contains everything except the
/// keys, which are issued and withdrawn separately; its snapshot has version 0.
class document {
public:
    /// Parses YAML text. Returns the document, or all faults with their places as
    /// `file:line:column`.
    static std::variant<document, findings> parse(std::string_view text, std::string_view file);

    const snapshot& content() const { return content_; }

    friend bool operator==(const document&, const document&) = default;

private:
    explicit document(snapshot content) : content_(std::move(content)) {}

    snapshot content_;
};

} // namespace snipespar::config
