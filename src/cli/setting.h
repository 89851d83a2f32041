#pragma once

#include <string>
#include <string_view>

namespace snipespar::cli {

/// Whether a setting must be given.
enum class presence {
    /// Must be given by flag or by environment variable.
    required,
    /// Has a default.
    defaulted,
    /// May be absent.
    optional,
};

/// Description of one setting, from which the command line, the help text and the reading of the
/// environment are derived. Texts have static storage.
struct setting {
    /// Name without the leading hyphens: `drain-timeout`.
    std::string_view name;
    /// Placeholder of the value in the help text: `<duration>`.
    std::string_view placeholder;
    presence given = presence::optional;
    /// Used when `given` is `defaulted`.
    std::string_view default_text;
    /// One or more plain sentences.
    std::string_view description;
    /// Read from the environment only and never printed.
    bool secret = false;
};

/// The flag of a setting: `--drain-timeout`.
std::string flag_of(const setting& item);

/// The environment variable of a setting: `SNIPESPAR_DRAIN_TIMEOUT`.
std::string variable_of(const setting& item);

} // namespace snipespar::cli
