#pragma once

#include "snipespar/run_state.h"

#include <cstdint>
#include <string>

namespace snipespar::entry {

struct answer_end;
struct refusal;

/// Writes an engine's answer in the usual form of completions and chat completions.
class completion_writer {
public:
    completion_writer(std::string request_id, std::string model, bool chat);

    /// Takes one event for the answer that is sent whole.
    void add(const std::string& event);

    /// The whole answer as one JSON document.
    std::string whole(const answer_end& end) const;

    /// The last event of a streamed answer, with the reason for its end and the usage.
    std::string last_event(const answer_end& end) const;

private:
    std::string request_id_;
    std::string model_;
    bool chat_;
    std::string text_;
};

/// The JSON body of an answer that the system gives itself.
std::string error_body(const refusal& error);

} // namespace snipespar::entry
