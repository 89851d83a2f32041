#include "claims/claim_index.h"

namespace snipespar::claims {

claim_index::claim_index(std::chrono::milliseconds retention) : retention_(retention) {}

void claim_index::apply(const journal_record& record)
{
    const auto place = records_.find(record.key);
    const journal_record* held = place == records_.end() ? nullptr : &place->second;
    if (supersedes(record, held)) {
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
    const auto place = records_.find(key);
    if (place == records_.end() || expired(place->second.at, wall)) {
        return nullptr;
    }
    return &place->second;
}

void claim_index::forget_expired(wall_time wall)
{
    std::erase_if(records_, [&](const auto& item) { return expired(item.second.at, wall); });
}

bool supersedes(const journal_record& next, const journal_record* held)
{
    if (next.kind == record_kind::claimed) {
        return true;
    }
    if (held == nullptr) {
        return next.kind != record_kind::released;
    }
    return held->nonce == next.nonce && held->kind == record_kind::claimed;
}

} // namespace snipespar::claims
