#pragma once

#include "claims/recorded_answer.h"
#include "link/frame/header_field.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace snipespar::entry {

/// Records the response of a call while it is relayed, so that a repeat of the call gets the same.
class response_recorder {
public:
    /// Maximum size of a recorded body, in bytes.
    static constexpr std::size_t max_body_bytes = 2048;

    void begin(int status, const std::vector<link::header_field>& headers);
    void add(std::string_view bytes);

    /// The response so far; without its body if that was too large.
    claims::recorded_answer recorded() const;

private:
    int status_ = 0;
    std::string content_type_;
    std::string body_;
    bool too_large_ = false;
};

} // namespace snipespar::entry
