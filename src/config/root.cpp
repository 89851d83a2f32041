#include "config/root.h"

#include "base/json_reader.h"

namespace snipespar::config {

std::string root_key(std::string_view environment)
{
    return fmt::format("config/{}/root", environment);
}

std::string part_prefix(std::string_view environment)
{
    return fmt::format("config/{}/part/", environment);
}

std::string part_key(std::string_view environment, std::string_view sha256)
{
    return part_prefix(environment) + std::string(sha256);
}

std::string encode(const root& value)
{
    auto parts = nlohmann::json::array();
    for (const auto& part : value.parts) {
        parts.push_back({{"name", part.name}, {"sha256", part.sha256}});
    }
    const nlohmann::json text = {{"version", value.version},
                                 {"environment", value.environment},
                                 {"parts", std::move(parts)},
                                 {"writers", value.writers}};
    return text.dump();
}

absl::StatusOr<root> decode_root(std::string_view text)
{
    absl::Status status;
    const auto json = json_reader::parse(text, status);
    const json_reader fields(json, "root", status);
    root value;
    value.version = fields.integer<std::uint64_t>("version");
    value.environment = fields.text("environment");
    fields.each("parts", [&](const json_reader& part) {
        value.parts.push_back({part.text("name"), part.text("sha256")});
    });
    value.writers = fields.texts("writers");
    if (status.ok() && value.version == 0) {
        status = absl::InvalidArgumentError("root.version: must be positive");
    }
    if (!status.ok()) {
        return status;
    }
    return value;
}

} // namespace snipespar::config
