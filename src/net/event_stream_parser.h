#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace snipespar::net {

/// Splits a stream of server-sent events into the data of each event. Only `data` fields are kept;
/// several of one event are joined by newlines, as the specification requires.
class event_stream_parser {
public:
    /// Takes the next bytes and returns the events that they complete, in order.
    std::vector<std::string> feed(std::string_view bytes);

    /// Bytes buffered of an incomplete event.
    std::size_t pending_bytes() const { return line_.size() + data_.size(); }

private:
    void end_line(std::vector<std::string>& events);

    std::string line_;
    std::string data_;
    bool has_data_ = false;
};

} // namespace snipespar::net
