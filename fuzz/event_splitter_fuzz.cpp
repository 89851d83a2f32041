// Feeds an event stream whole and in pieces. The events are the same, and are the start of the
// stream with no byte changed.

#include "fuzz_input.h"
#include "gateway/event_splitter.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    namespace fuzz = snipespar::fuzz;
    const fuzz::cut_text input(fuzz::to_text(data, size));
    snipespar::gateway::event_splitter whole;
    const auto expected = whole.feed(input.text());

    snipespar::gateway::event_splitter splitter;
    std::vector<snipespar::gateway::event_splitter::event> events;
    input.each_piece([&](std::string_view piece) {
        for (auto& event : splitter.feed(piece)) {
            events.push_back(std::move(event));
        }
    });
    fuzz::require(events == expected);
    fuzz::require(splitter.has_partial() == whole.has_partial());

    std::string bytes;
    for (const auto& event : events) {
        fuzz::require(event.bytes.ends_with("\n\n") || event.bytes.ends_with("\n\r\n"));
        bytes += event.bytes;
    }
    fuzz::require(input.text().starts_with(bytes));
    fuzz::require(splitter.has_partial() == (bytes.size() < input.text().size()));
    return 0;
}
