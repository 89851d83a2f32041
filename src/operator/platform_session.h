#pragma once

#include "cli/operator_settings.h"
#include "config/publisher.h"
#include "config/snapshot.h"
#include "store/object_reply.h"

#include <absl/status/statusor.h>
#include <string>

namespace snipespar::operators {

/// Access to the platform for operator commands: performs one call at a time, with retries.
class platform_session {
public:
    explicit platform_session(const cli::platform_access& access);

    /// Performs one call.
    store::object_reply perform(const store::request& call) const;

    /// Publishes a change and returns its result.
    config::publish_result publish(const std::string& environment,
                                   config::publisher::change_function change) const;

    /// Reads the accepted version of an environment; NotFound when there is none.
    absl::StatusOr<config::snapshot> load(const std::string& environment) const;

private:
    cli::platform_access access_;
};

} // namespace snipespar::operators
