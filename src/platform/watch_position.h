#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

namespace snipespar::platform {

/// Where a watch stands in the changes of the store.
///
/// A store that was restored from a copy starts a new era: its revisions go back and are assigned
/// again, so that revisions of two eras cannot be compared. An era is one higher than the one
/// before it: one that is far from what is known comes from a damaged response, either this one or
/// the one that the known era is from. It changes nothing until several responses in a row have
/// stated it.
class watch_position {
public:
    /// Largest difference of two eras that restorations explain.
    static constexpr std::uint64_t max_era_step = 1000;
    /// Responses in a row that establish a doubtful era.
    static constexpr int confirming_responses = 3;

    /// What a response's era means for the watch.
    enum class era_change {
        /// The response continues what is known.
        none,
        /// The store was restored since the last response: everything has to be listed again.
        restored,
        /// The response was sent before the store was restored and must be ignored.
        outdated,
        /// The era is out of all proportion to the known one and is ignored.
        doubtful,
    };

    /// Whether restorations cannot explain the difference of these eras.
    static constexpr bool is_doubtful(std::uint64_t known, std::uint64_t stated)
    {
        return std::max(known, stated) - std::min(known, stated) > max_era_step;
    }

    /// Compares the era stated by a response with the known one and takes over a later one, or a
    /// doubtful one that is confirmed.
    era_change on_era(std::optional<std::uint64_t> era)
    {
        const bool is_confirmed = count_doubt(era);
        if (!era || (era_ && *era == *era_)) {
            return era_change::none;
        }
        if (doubtful_responses_ != 0 && !is_confirmed) {
            return era_change::doubtful;
        }
        if (era_ && *era < *era_ && !is_confirmed) {
            return era_change::outdated;
        }
        const bool is_first = !era_;
        era_ = era;
        doubtful_responses_ = 0;
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
    // Counts the responses in a row that state the same doubtful era. Returns whether they confirm
    // it. One that states none says nothing about eras.
    bool count_doubt(std::optional<std::uint64_t> era)
    {
        if (!era) {
            return false;
        }
        if (!era_ || !is_doubtful(*era_, *era)) {
            doubtful_responses_ = 0;
            return false;
        }
        doubtful_responses_ = doubtful_era_ == *era ? doubtful_responses_ + 1 : 1;
        doubtful_era_ = *era;
        return doubtful_responses_ >= confirming_responses;
    }

    std::optional<std::uint64_t> era_;
    std::uint64_t doubtful_era_ = 0;
    int doubtful_responses_ = 0;
    std::uint64_t revision_ = 0;
    bool is_listed_ = false;
};

} // namespace snipespar::platform
