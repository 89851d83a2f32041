#pragma once

#include "claims/digest.h"
#include "claims/journal_record.h"

#include <cstddef>
#include <span>
#include <unordered_map>

namespace snipespar::claims {

/// The state of each key of a journal after its records have been applied.
class claim_index {
public:
    /// Records older than `retention` are treated as absent.
    explicit claim_index(std::chrono::milliseconds retention);

    /// Applies the next record of the journal.
    void apply(const journal_record& record);
    void apply(std::span<const journal_record> records);

    /// The record of a key that is current at `wall`; null if there is none.
    const journal_record* find(const digest& key, wall_time wall) const;

    bool expired(wall_time at, wall_time wall) const { return at + retention_ <= wall; }

    /// Removes the expired records.
    void discard_expired(wall_time wall);

    void clear() { records_.clear(); }
    std::size_t size() const { return records_.size(); }

private:
    std::chrono::milliseconds retention_;
    std::unordered_map<digest, journal_record> records_;
};

/// Whether `next` supersedes `current`, the latest record of the same key or null.
bool supersedes(const journal_record& next, const journal_record* current);

} // namespace snipespar::claims
