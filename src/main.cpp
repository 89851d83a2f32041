#include "agent/run_agent.h"
#include "cli/command_line.h"
#include "entry/run_entry.h"
#include "gateway/run_gateway.h"
#include "operator/run_operator.h"
#include "platform/wire_names.h"
#include "sidecar/run_sidecar.h"
#include "telemetry/end_report.h"

#include <csignal>
#include <cstdio>
#include <string>
#include <string_view>
#include <unistd.h>
#include <variant>
#include <vector>

namespace {

using namespace snipespar;

// Runs the parsed command and returns the exit code.
struct dispatcher {
    int operator()(const cli::entry_settings& settings) const
    {
        telemetry::report_abnormal_end("entry", STDERR_FILENO);
        return entry::run_entry(settings);
    }

    int operator()(const cli::agent_settings& settings) const
    {
        telemetry::report_abnormal_end("agent", STDERR_FILENO);
        return agent::run_agent(settings);
    }

    int operator()(const cli::gateway_settings& settings) const
    {
        telemetry::report_abnormal_end("gateway", STDOUT_FILENO);
        return gateway::run_gateway(settings);
    }

    int operator()(const cli::sidecar_settings& settings) const
    {
        telemetry::report_abnormal_end("sidecar", STDOUT_FILENO);
        return sidecar::run_sidecar(settings);
    }

    int operator()(const cli::operator_settings& settings) const
    {
        return operators::run_operator(settings);
    }

    int operator()(const cli::printed_text& printed) const
    {
        const bool is_error = printed.code != cli::exit_code::ok;
        std::fputs(printed.text.c_str(), is_error ? stderr : stdout);
        return static_cast<int>(printed.code);
    }
};

cli::text_map read_environment()
{
    cli::text_map variables;
    for (char** item = environ; *item != nullptr; ++item) {
        const std::string_view text = *item;
        const auto equals = text.find('=');
        if (equals != std::string_view::npos) {
            variables.emplace(text.substr(0, equals), text.substr(equals + 1));
        }
    }
    // The platform sets it for every process; it is not a setting of this program.
    variables.erase(std::string(platform::wire::settings_file_variable));
    return variables;
}

} // namespace

int main(int argc, char** argv)
{
    // A SIGHUP that arrives before its handler is installed must not end the process.
    std::signal(SIGHUP, SIG_IGN);
    // A log whose reader has gone, or whose file is full, must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return std::visit(dispatcher{}, cli::parse_command_line(arguments, read_environment()));
}
