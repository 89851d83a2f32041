#pragma once

#include "config/change.h"

#include <optional>

namespace snipespar::config {

/// Replaces the whole document of an environment and keeps its keys. Rejected when another document
/// was accepted after the change was first applied, so that no operator's document is overwritten
/// unnoticed; keys issued or withdrawn in the meantime are kept.
class document_change {
public:
    explicit document_change(snapshot content) : content_(std::move(content)) {}

    change_result apply_to(const snapshot& base);

private:
    snapshot content_;
    std::optional<snapshot> first_base_;
};

/// Whether two snapshots are equal apart from their keys and version.
bool is_same_document(const snapshot& left, const snapshot& right);

/// The finding for a change whose base was superseded by another operator's document.
findings superseded(const snapshot& base);

} // namespace snipespar::config
