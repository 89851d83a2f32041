#pragma once

#include "config/api_key.h"
#include "config/change.h"

namespace snipespar::config {

/// Adds one issued key. Independent of the active document.
class key_issue {
public:
    explicit key_issue(api_key key) : key_(std::move(key)) {}

    change_result apply_to(const snapshot& base) const;

private:
    api_key key_;
};

/// Marks one key as withdrawn; no effect on a key that already is.
class key_withdrawal {
public:
    explicit key_withdrawal(key_id key) : key_(std::move(key)) {}

    change_result apply_to(const snapshot& base) const;

private:
    key_id key_;
};

} // namespace snipespar::config
