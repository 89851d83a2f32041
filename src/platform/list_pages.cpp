#include "platform/list_pages.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace snipespar::platform {

namespace {

// A store may not know the last name of a page any more. One of the names before it leads on then.
constexpr int max_pages_without_news = 3;

} // namespace

list_pages::state list_pages::add(object_page page, std::size_t bytes)
{
    revision_ = revision_.value_or(page.revision);
    ++pages_;
    bytes_ += bytes;
    std::vector<std::string> cursors;
    bool has_news = false;
    for (auto& name : page.names) {
        const bool is_new = names_.insert(name).second;
        has_news = has_news || is_new;
        if (is_new && !name.empty() && name.size() <= max_cursor_bytes) {
            cursors.push_back(std::move(name));
        }
    }
    const bool has_names = !page.names.empty();
    // A page that was read before brings nothing but copies.
    if (has_news || !has_names) {
        std::ranges::move(page.objects, std::back_inserter(objects_));
        page.unreadable.resize(
            std::min(page.unreadable.size(), max_unreadable - unreadable_.size()));
        std::ranges::move(page.unreadable, std::back_inserter(unreadable_));
    }
    if (!page.has_more) {
        return state::whole;
    }
    if (pages_ >= max_pages || bytes_ >= max_bytes) {
        return cut("the list does not end");
    }
    if (!cursors.empty()) {
        cursors_ = std::move(cursors);
        pages_without_news_ = 0;
    }
    else if (!has_names || ++pages_without_news_ > max_pages_without_news) {
        return cut(has_names ? "the list leads back to itself" : "a page without a readable name");
    }
    if (cursors_.empty()) {
        return cut("the list leads back to itself");
    }
    after_ = std::move(cursors_.back());
    cursors_.pop_back();
    return state::open;
}

list_pages::state list_pages::cut(std::string reason)
{
    reason_ = std::move(reason);
    return state::cut;
}

} // namespace snipespar::platform
