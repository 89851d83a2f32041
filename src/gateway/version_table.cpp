#include "gateway/version_table.h"

#include <chrono>

namespace snipespar::gateway {

namespace {

// How long a new version is stated to sidecars whose adapter is not in use.
constexpr auto announce_time = std::chrono::seconds(10);
// Bytes of versions that a demand states beside those of the adapters in use. All versions are new
// to a gateway that has just started, and a datagram holds 64 KiB.
constexpr std::size_t max_stated_bytes = 4096;
// Bytes of a version beside the adapter's name.
constexpr std::size_t version_bytes = 24;

} // namespace

bool version_table::announce(const std::string& name, std::uint64_t version, time_point now)
{
    auto& known = versions_[name];
    if (version <= known.version) {
        return false;
    }
    known = {version, known.version, now};
    recent_.push_back({name, now});
    return true;
}

const announced_version* version_table::find(std::string_view name) const
{
    const auto found = versions_.find(name);
    return found == versions_.end() ? nullptr : &found->second;
}

std::uint64_t version_table::min_version(std::string_view name, time_point now) const
{
    const auto* announced = find(name);
    if (announced == nullptr) {
        return 0;
    }
    return now - announced->known_since < grace_ ? announced->previous : announced->version;
}

void version_table::add_recent(std::map<std::string, std::uint64_t>& versions, std::uint64_t draw,
                               time_point now)
{
    while (!recent_.empty() && now - recent_.front().at >= announce_time) {
        recent_.pop_front();
    }
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < recent_.size(); ++i) {
        const auto& name = recent_[(draw + i) % recent_.size()].name;
        bytes += name.size() + version_bytes;
        if (bytes > max_stated_bytes) {
            return;
        }
        versions[name] = versions_.at(name).version;
    }
}

} // namespace snipespar::gateway
