#include "gateway/event_splitter.h"

#include "base/text_view.h"

#include <absl/strings/numbers.h>
#include <algorithm>

namespace snipespar::gateway {

namespace {

// The position after the empty line that ends the first event, or npos.
std::size_t find_event_end(std::string_view text, std::size_t from)
{
    auto line_end = text.find('\n', from);
    while (line_end != std::string_view::npos) {
        const auto rest = text.substr(line_end + 1);
        if (rest.starts_with('\n')) {
            return line_end + 2;
        }
        if (rest.starts_with("\r\n")) {
            return line_end + 3;
        }
        line_end = text.find('\n', line_end + 1);
    }
    return std::string_view::npos;
}

std::optional<std::uint64_t> read_number(std::string_view event)
{
    std::size_t start = 0;
    while (start < event.size()) {
        const auto end = std::min(event.find('\n', start), event.size());
        auto line = event.substr(start, end - start);
        start = end + 1;
        if (!line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(3);
        std::uint64_t number = 0;
        if (absl::SimpleAtoi(to_absl(line), &number)) {
            return number;
        }
    }
    return std::nullopt;
}

} // namespace

std::vector<event_splitter::event> event_splitter::feed(std::string_view bytes)
{
    pending_.append(bytes);
    std::vector<event> events;
    std::size_t start = 0;
    // The two line feeds that end an event may arrive separately.
    std::size_t from = searched_ > 2 ? searched_ - 2 : 0;
    while (true) {
        const auto end = find_event_end(pending_, from);
        if (end == std::string::npos) {
            break;
        }
        std::string text = pending_.substr(start, end - start);
        const auto number = read_number(text);
        events.push_back({number, std::move(text)});
        start = end;
        from = end;
    }
    pending_.erase(0, start);
    searched_ = pending_.size();
    return events;
}

} // namespace snipespar::gateway
