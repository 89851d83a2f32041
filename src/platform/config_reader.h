#pragma once

#include "base/json_array_cursor.h"
#include "gateway/fleet_config.h"

#include <absl/status/statusor.h>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace snipespar::platform {

/// Reads versions of the configuration, one after the other and each in small steps, so that a
/// large one does not hold up other work. Routes that a version has in common with the one before
/// are not decoded again but shared.
class config_reader {
public:
    using result = absl::StatusOr<std::shared_ptr<const gateway::fleet_config>>;

    config_reader();
    ~config_reader();
    config_reader(const config_reader&) = delete;
    config_reader& operator=(const config_reader&) = delete;

    /// Begins to read the JSON text of a version.
    void begin(std::string text);

    /// Drops what is being read.
    void cancel();

    bool is_reading() const { return next_ != nullptr; }

    /// Reads on for about a millisecond of processor. Returns the version once it is complete;
    /// AlreadyExists if it is not newer than the last one, InvalidArgument with the place of the
    /// first error.
    std::optional<result> read_on();

private:
    using route_texts =
        std::unordered_map<std::string_view, std::shared_ptr<const gateway::route_rule>>;

    /// A version that is being read, or was.
    struct version_content {
        std::string text;
        /// Routes by their text.
        route_texts routes;
    };

    absl::Status begin_routes();
    absl::StatusOr<bool> read_routes();
    result finish();

    std::unique_ptr<version_content> used_;
    std::unique_ptr<version_content> next_;
    gateway::fleet_config::parts parts_;
    std::optional<json_array_cursor> cursor_;
    std::uint64_t used_version_ = 0;
};

/// Reads a whole version at once.
config_reader::result decode_config(std::string text);

} // namespace snipespar::platform
