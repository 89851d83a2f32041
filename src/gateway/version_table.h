#pragma once

#include "gateway/announced_version.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace snipespar::gateway {

/// The announced versions of all adapters, by `model/adapter`.
class version_table {
public:
    /// How long the previous version of an adapter may be used after a newer one was announced;
    /// not at all by default.
    void set_grace(duration grace) { grace_ = grace; }

    /// Takes over a version unless a later one is known. Returns whether it did.
    bool announce(const std::string& name, std::uint64_t version, time_point now);

    /// Returns nullptr if no version of the adapter was announced.
    const announced_version* find(std::string_view name) const;

    /// Lowest version of the adapter that may be used; 0 if none was announced. The previous one
    /// may be used for a while.
    std::uint64_t min_version(std::string_view name, time_point now) const;

    /// Adds versions that were announced lately to `versions`, as many as have room in a demand.
    /// They are taken in turn from a place that `draw` selects, so that several demands state them
    /// all.
    void add_recent(std::map<std::string, std::uint64_t>& versions, std::uint64_t draw,
                    time_point now);

private:
    struct announcement {
        std::string name;
        time_point at;
    };

    duration grace_{};
    std::map<std::string, announced_version, std::less<>> versions_;
    /// The oldest one first.
    std::deque<announcement> recent_;
};

} // namespace snipespar::gateway
