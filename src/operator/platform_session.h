#pragma once

#include "cli/operator_settings.h"
#include "config/publisher.h"
#include "config/snapshot.h"
#include "store/object_reply.h"

#include <absl/status/statusor.h>
#include <string>

namespace snipespar::operators {

/// The platform as an operator command uses it: one call after another, with retries, until done.
class platform_session {
public:
    explicit platform_session(const cli::platform_access& access);

    /// Performs one call.
    store::object_reply perform(const store::request& call) const;

    /// Runs a change to its end.
    config::publish_result publish(const std::string& environment,
                                   config::publisher::change_function change) const;

    /// Reads the accepted version of an environment; NotFound when there is none.
    absl::StatusOr<config::snapshot> load(const std::string& environment) const;

private:
    cli::platform_access access_;
};

} // namespace snipespar::operators
