#pragma once

#include <string_view>

namespace snipespar::telemetry {

/// Makes an uncaught exception and a fatal signal write one last log line with its reason to
/// `descriptor`, before the process ends as it would without. `role` must have static storage. In a
/// sanitized build fatal signals are left to the sanitizer.
void report_abnormal_end(std::string_view role, int descriptor);

} // namespace snipespar::telemetry
