#pragma once

#include <cstdint>
#include <optional>

namespace snipespar::platform {

/// Where a watch stands in the changes of the store.
///
/// A store that was restored from a copy starts a new era: its revisions go back and are assigned
/// again, so that revisions of two eras cannot be compared.
class watch_position {
public:
    /// What a response's era means for the watch.
    enum class era_change {
        /// The response continues what is known.
        none,
        /// The store was restored since the last response: everything has to be listed again.
        restored,
        /// The response was sent before the store was restored and must be ignored.
        outdated,
    };

    /// Compares the era stated by a response with the known one and takes over a later one.
    era_change on_era(std::optional<std::uint64_t> era)
    {
        if (!era || (era_ && *era == *era_)) {
            return era_change::none;
        }
        if (era_ && *era < *era_) {
            return era_change::outdated;
        }
        const bool is_first = !era_;
        era_ = era;
        if (is_first) {
            return era_change::none;
        }
        is_listed_ = false;
        return era_change::restored;
    }

    /// All objects were listed at this revision.
    void on_listed(std::uint64_t revision)
    {
        revision_ = revision;
        is_listed_ = true;
    }

    /// All changes up to this revision were received.
    void on_polled(std::uint64_t revision) { revision_ = revision; }

    /// The objects have to be listed again before the next poll.
    void invalidate() { is_listed_ = false; }

    bool is_listed() const { return is_listed_; }
    std::uint64_t revision() const { return revision_; }
    std::optional<std::uint64_t> era() const { return era_; }

private:
    std::optional<std::uint64_t> era_;
    std::uint64_t revision_ = 0;
    bool is_listed_ = false;
};

} // namespace snipespar::platform
