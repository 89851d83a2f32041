#include "platform/upstream_entry_codec.h"

#include "base/json_reader.h"
#include "base/text_view.h"
#include "cli/value_parsers.h"
#include "gateway/upstream_name.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <chrono>
#include <fmt/format.h>

namespace snipespar::platform {

namespace {

// Far longer than any version name; bounds what an entry can make a gateway keep and send.
constexpr std::size_t max_software_bytes = 128;

// Names of services and failure domains; longer ones would be kept and sent for each entry.
constexpr std::size_t max_name_bytes = 253;

std::string read_name(const json_reader& fields, const char* name)
{
    auto text = fields.text(name);
    const bool has_control = std::ranges::any_of(text, [](char character) {
        return absl::ascii_iscntrl(static_cast<unsigned char>(character));
    });
    if (text.size() > max_name_bytes || has_control) {
        fields.fail(fields.path() + "." + name, "is not a name");
    }
    return text;
}

// Longer than any start-up; bounds what an entry can make gateways hold back.
constexpr double max_cold_ms = 3600.0 * 1000;

duration read_cold_time(const json_reader& fields)
{
    if (!fields.has("cold_remaining_ms")) {
        return {};
    }
    const std::chrono::duration<double, std::milli> stated{
        std::clamp(fields.real("cold_remaining_ms"), 0.0, max_cold_ms)};
    return std::chrono::ceil<duration>(stated);
}

std::string read_software(const gateway::upstream_entry& entry, const nlohmann::json& content)
{
    const auto version = content.find("version");
    if (version != content.end() && version->is_string()) {
        auto software = version->get<std::string>();
        if (!software.empty() && software.size() <= max_software_bytes) {
            return software;
        }
    }
    // Equal to no other upstream's version.
    return fmt::format("unstated:{}@{}", entry.id.str(), entry.process_start_ms);
}

} // namespace

absl::StatusOr<gateway::upstream_entry> decode_upstream_entry(const std::string& id,
                                                              const nlohmann::json& content)
{
    absl::Status status;
    const json_reader fields(content, "servers/" + id, status);
    if (const auto name = gateway::check_upstream_name(id); !name.ok()) {
        fields.fail(fields.path(), to_std(name.message()));
    }
    gateway::upstream_entry entry;
    entry.id = upstream_id(id);
    // The platform calls a service an "upstream".
    entry.service = read_name(fields, "upstream");
    entry.failure_domain = failure_domain_id(read_name(fields, "zone"));
    entry.slots = static_cast<int>(fields.integer<std::uint16_t>("slots"));
    const auto state = fields.text("state");
    entry.is_draining = state == "draining";
    if (!entry.is_draining && state != "ready") {
        fields.fail(fields.path() + ".state", "is unknown");
    }
    entry.process_start_ms = fields.has("born") ? fields.integer<std::uint64_t>("born") : 0;
    entry.cold_time = read_cold_time(fields);
    const auto address = cli::parse_endpoint(fields.text("address"));
    if (!address.ok()) {
        fields.fail(fields.path() + ".address", to_std(address.status().message()));
    }
    if (!status.ok()) {
        return status;
    }
    entry.address = *address;
    entry.software = read_software(entry, content);
    return entry;
}

} // namespace snipespar::platform
