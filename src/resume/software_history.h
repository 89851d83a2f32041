#pragma once

#include "snipespar/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace snipespar::resume {

/// Software versions that served each service in the lifetime of a stream, as far as this gateway
/// has followed the registry. If one version alone did, it began every stream.
class software_history {
public:
    /// The registry is followed from now on, or again.
    void on_registry_followed(time_point now);

    /// Changes of the registry may be missed from now on.
    void on_registry_lost() { followed_since_.reset(); }

    /// Changes may have been missed until now. The registry is followed if it was before.
    void on_gap_ended(time_point now);

    /// All changes made before `asked_at` are known.
    void on_registry_read(time_point asked_at);

    /// Whether all changes made before this time are known.
    bool is_read_since(time_point when) const { return read_at_ && *read_at_ >= when; }

    /// An upstream of this version has left the service.
    void on_left(const std::string& service, const std::string& software, time_point now);

    /// The only version that can have begun a stream, if it is known. `present`: versions of the
    /// service's listed upstreams.
    std::optional<std::string> sole_version(const std::string& service,
                                            const std::set<std::string>& present,
                                            time_point now) const;

private:
    std::optional<time_point> followed_since_;
    std::optional<time_point> read_at_;
    /// When an upstream of each version last left, by service.
    std::map<std::string, std::map<std::string, time_point>> left_;
};

} // namespace snipespar::resume
