#pragma once

#include "platform/object_codec.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace snipespar::platform {

/// The pages of one list, which other writers' objects may keep from ever ending.
///
/// A list goes on behind the name of an object of its last page. One that the store does not lead
/// on is cut: what it has brought so far counts, but it does not show which objects there are not.
class list_pages {
public:
    /// Pages after which a list is cut. Several times those of the largest fleet that is planned
    /// for.
    static constexpr std::size_t max_pages = 4096;
    /// Bytes of all responses after which a list is cut.
    static constexpr std::size_t max_bytes = 64UL * 1024 * 1024;
    /// Longest name behind which a list goes on; longer ones do not fit into a request.
    static constexpr std::size_t max_cursor_bytes = 8UL * 1024;

    /// Unreadable objects that are kept.
    static constexpr std::size_t max_unreadable = 256;

    enum class state {
        /// Another page has to be read, behind `after`.
        open,
        whole,
        cut,
    };

    /// Takes the next page, whose response had this many bytes.
    state add(object_page page, std::size_t bytes);

    /// Name behind which the next page begins; empty for the first page.
    const std::string& after() const { return after_; }

    /// Revision of the first page: a watch from there reports what has changed between two pages.
    std::uint64_t revision() const { return revision_.value_or(0); }

    /// Objects of all pages, in the order of the store.
    const std::vector<watched_object>& objects() const { return objects_; }
    /// The first ones.
    const std::vector<unreadable_object>& unreadable() const { return unreadable_; }

    /// Why the list was cut.
    const std::string& reason() const { return reason_; }

private:
    state cut(std::string reason);

    std::vector<watched_object> objects_;
    std::vector<unreadable_object> unreadable_;
    std::optional<std::uint64_t> revision_;
    std::string after_;
    std::string reason_;
    /// Names of all pages.
    std::unordered_set<std::string> names_;
    /// Names behind which the list may go on, from the last page that brought new ones, in its
    /// order.
    std::vector<std::string> cursors_;
    std::size_t pages_ = 0;
    std::size_t bytes_ = 0;
    /// Pages in a row without a new name.
    int pages_without_news_ = 0;
};

} // namespace snipespar::platform
