#pragma once

#include "telemetry/log_field.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace snipespar::telemetry {

class logger;

/// Logs the state of named subjects, one line at each change and none in between. For use by one
/// thread.
class state_log {
public:
    /// `log` must outlive this object.
    explicit state_log(const logger& log) : log_(log) {}

    /// Writes a line `event subject=... state=... was=...` if `state` differs from the last one of
    /// this event and subject. Returns whether it did.
    bool update(std::string_view event, std::string_view subject, std::string_view state,
                const std::vector<log_field>& details = {});

    /// Removes a subject that no longer exists, without logging.
    void forget(std::string_view event, std::string_view subject);

private:
    // An event's name and a subject.
    struct subject_key {
        std::string event;
        std::string subject;

        friend auto operator<=>(const subject_key&, const subject_key&) = default;
    };

    const logger& log_;
    std::map<subject_key, std::string> last_;
};

} // namespace snipespar::telemetry
