#include "platform/adapter_version_codec.h"

#include "base/json_reader.h"

namespace snipespar::platform {

absl::StatusOr<adapter_version> decode_adapter_version(const nlohmann::json& content)
{
    absl::Status status;
    const json_reader fields(content, "versions", status);
    adapter_version result{
        .model = fields.text("model"),
        .adapter = fields.has("adapter") ? fields.text("adapter") : std::string(),
        .version = fields.integer<std::uint64_t>("version"),
    };
    if (!status.ok()) {
        return status;
    }
    return result;
}

} // namespace snipespar::platform
