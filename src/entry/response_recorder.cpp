#include "entry/response_recorder.h"

#include <absl/strings/match.h>

namespace snipespar::entry {

void response_recorder::begin(int status, const std::vector<link::header_field>& headers)
{
    status_ = status;
    for (const auto& field : headers) {
        if (absl::EqualsIgnoreCase(field.name, "content-type")) {
            content_type_ = field.value;
        }
    }
}

void response_recorder::add(std::string_view bytes)
{
    too_large_ = too_large_ || body_.size() + bytes.size() > max_body_bytes;
    if (too_large_) {
        body_.clear();
        return;
    }
    body_ += bytes;
}

claims::recorded_answer response_recorder::recorded() const
{
    if (too_large_) {
        return {status_, content_type_, {}, std::nullopt};
    }
    return {status_, content_type_, claims::digest_of(body_), body_};
}

} // namespace snipespar::entry
