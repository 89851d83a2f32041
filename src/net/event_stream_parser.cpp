#include "net/event_stream_parser.h"

#include <utility>

namespace snipespar::net {

namespace {

constexpr std::string_view data_field = "data:";

} // namespace

std::vector<std::string> event_stream_parser::feed(std::string_view bytes)
{
    std::vector<std::string> events;
    for (const char byte : bytes) {
        if (byte == '\n') {
            end_line(events);
        }
        else if (byte != '\r') {
            line_ += byte;
        }
    }
    return events;
}

void event_stream_parser::end_line(std::vector<std::string>& events)
{
    if (line_.empty()) {
        if (has_data_) {
            events.push_back(std::exchange(data_, {}));
        }
        has_data_ = false;
        return;
    }
    std::string_view line = line_;
    if (line.starts_with(data_field)) {
        line.remove_prefix(data_field.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        if (has_data_) {
            data_ += '\n';
        }
        data_ += line;
        has_data_ = true;
    }
    line_.clear();
}

} // namespace snipespar::net
