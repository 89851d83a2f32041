#pragma once

#include "cli/agent_settings.h"
#include "cli/entry_settings.h"
#include "cli/exit_code.h"
#include "cli/gateway_settings.h"
#include "cli/operator_settings.h"
#include "cli/settings_reader.h"
#include "cli/sidecar_settings.h"

#include <string>
#include <variant>
#include <vector>

namespace snipespar::cli {

/// Text to print instead of running a command: help and version go to standard output, findings to
/// standard error.
struct printed_text {
    std::string text;
    exit_code code = exit_code::ok;

    friend bool operator==(const printed_text&, const printed_text&) = default;
};

/// What the command line asks for.
using parsed_command = std::variant<entry_settings, agent_settings, gateway_settings,
                                    sidecar_settings, operator_settings, printed_text>;

/// Parses the arguments after the program's name together with the environment. All errors in the
/// settings are reported in one `printed_text`; it never contains a secret.
parsed_command parse_command_line(const std::vector<std::string>& arguments,
                                  const text_map& environment);

} // namespace snipespar::cli
