#include "resume/software_history.h"

#include "resume/origin_store.h"

#include <algorithm>

namespace snipespar::resume {

void software_history::on_registry_followed(time_point now)
{
    if (!followed_since_) {
        followed_since_ = now;
    }
}

void software_history::on_gap_ended(time_point now)
{
    if (followed_since_) {
        followed_since_ = now;
    }
}

void software_history::on_registry_read(time_point asked_at)
{
    read_at_ = std::max(read_at_.value_or(asked_at), asked_at);
}

void software_history::on_left(const std::string& service, const std::string& software,
                               time_point now)
{
    auto& versions = left_[service];
    std::erase_if(versions,
                  [&](const auto& item) { return now - item.second > origin_store::lifetime; });
    versions[software] = now;
}

std::optional<std::string> software_history::sole_version(const std::string& service,
                                                          const std::set<std::string>& present,
                                                          time_point now) const
{
    if (!followed_since_ || now - *followed_since_ < origin_store::lifetime ||
        present.size() != 1) {
        return std::nullopt;
    }
    if (const auto found = left_.find(service); found != left_.end()) {
        for (const auto& [software, when] : found->second) {
            if (software != *present.begin() && now - when <= origin_store::lifetime) {
                return std::nullopt;
            }
        }
    }
    return *present.begin();
}

} // namespace snipespar::resume
