#pragma once

#include "claims/journal_record.h"
#include "snipespar/ids.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace snipespar::claims {

/// A sealed segment that is part of a journal: its slot, and the object version it has there.
struct segment_ref {
    std::uint32_t slot = 0;
    std::uint64_t version = 0;
    /// Time of its latest record.
    wall_time last_at;

    friend bool operator==(const segment_ref&, const segment_ref&) = default;
};

/// The right to write a segment slot once, over the object version that was read before the
/// reservation was made. A later sealer has a later reservation with no lower version, so a paused
/// writer cannot overwrite a segment that is in use.
struct seal_reservation {
    std::uint32_t slot = 0;
    std::uint64_t version = 0;
    incarnation writer;

    friend bool operator==(const seal_reservation&, const seal_reservation&) = default;
};

/// The platform object at the head of one partition's journal. Every change to the journal is a
/// conditional update of this object, so a writer with an old version always fails.
struct journal_page {
    /// Sealed segments, oldest first; they come before the records below.
    std::vector<segment_ref> sealed;
    std::optional<seal_reservation> reservation;
    std::vector<journal_record> records;

    friend bool operator==(const journal_page&, const journal_page&) = default;
};

/// The platform object of a sealed segment.
struct journal_segment {
    std::vector<journal_record> records;

    friend bool operator==(const journal_segment&, const journal_segment&) = default;
};

} // namespace snipespar::claims
