#include "claims/claim_index.h"

namespace snipespar::claims {

claim_index::claim_index(std::chrono::milliseconds retention) : retention_(retention) {}

void claim_index::apply(const journal_record& record)
{
    const auto it = records_.find(record.key);
    const journal_record* current = it == records_.end() ? nullptr : &it->second;
    if (supersedes(record, current)) {
        records_.insert_or_assign(record.key, record);
    }
}

void claim_index::apply(std::span<const journal_record> records)
{
    for (const auto& record : records) {
        apply(record);
    }
}

const journal_record* claim_index::find(const digest& key, wall_time wall) const
{
    const auto it = records_.find(key);
    if (it == records_.end() || expired(it->second.at, wall)) {
        return nullptr;
    }
    return &it->second;
}

void claim_index::discard_expired(wall_time wall)
{
    std::erase_if(records_, [&](const auto& item) { return expired(item.second.at, wall); });
}

bool supersedes(const journal_record& next, const journal_record* current)
{
    if (next.kind == record_kind::claimed) {
        return true;
    }
    if (current == nullptr) {
        return next.kind != record_kind::released;
    }
    return current->nonce == next.nonce && current->kind == record_kind::claimed;
}

} // namespace snipespar::claims
