#include "gateway/upstream_name.h"

#include "base/percent_coding.h"

#include <cstddef>

namespace snipespar::gateway {

namespace {

constexpr std::size_t max_name_bytes = 253;

} // namespace

absl::Status check_upstream_name(std::string_view name)
{
    if (name.empty()) {
        return absl::InvalidArgumentError("the name is empty");
    }
    if (name.size() > max_name_bytes) {
        return absl::InvalidArgumentError("the name is too long");
    }
    if (percent_encode(name) != name) {
        return absl::InvalidArgumentError("the name is not of letters, digits and -._~");
    }
    return absl::OkStatus();
}

} // namespace snipespar::gateway
