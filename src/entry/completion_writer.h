#pragma once

#include "snipespar/run_state.h"

#include <cstdint>
#include <string>

namespace snipespar::entry {

struct response_end;
struct refusal;

/// Formats an engine's response as a completion or chat completion.
class completion_writer {
public:
    completion_writer(std::string request_id, std::string model, bool chat);

    /// Adds one event to the response that is sent as a whole.
    void add(const std::string& event);

    /// The whole response as one JSON document.
    std::string whole(const response_end& end) const;

    /// The last event of a streamed response, with finish reason and usage.
    std::string last_event(const response_end& end) const;

private:
    std::string request_id_;
    std::string model_;
    bool chat_;
    std::string text_;
};

/// The JSON body of a refusal.
std::string error_body(const refusal& error);

} // namespace snipespar::entry
