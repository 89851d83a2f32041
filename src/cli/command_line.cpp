#include "cli/command_line.h"

#include "cli/setting.h"
#include "cli/setting_tables.h"
#include "cli/value_parsers.h"

#include <absl/status/status.h>
#include <algorithm>
#include <array>
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <iterator>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <utility>

namespace snipespar::cli {

namespace {

constexpr std::size_t min_fleet_secret_bytes = 32;
constexpr std::string_view version_text = "snipespar " SNIPESPAR_VERSION "\n";

using docopt_values = std::map<std::string, docopt::value>;

// One command with its usage patterns, summary and settings.
struct command {
    std::string_view name;
    std::vector<std::string_view> patterns;
    std::string_view summary;
    std::span<const setting> table;
};

const std::vector<command>& commands()
{
    static const std::vector<command> list{
        {"entry", {"entry"}, "Serves callers on this host.", entry_table()},
        {"agent", {"agent"}, "Serves one upstream, running beside it.", agent_table()},
        {"gateway",
         {"gateway"},
         "Serves callers on this host directly from the upstreams of the platform.",
         gateway_table()},
        {"sidecar",
         {"sidecar"},
         "Orders the engine on this host to load the adapters that gateways need.",
         sidecar_table()},
        {"check", {"check FILE"}, "Validates a configuration document.", check_table()},
        {"apply",
         {"apply FILE"},
         "Validates a document and makes it the next version of its environment.",
         operator_table()},
        {"promote",
         {"promote"},
         "Applies the accepted document of one environment to another.",
         promote_table()},
        {"status",
         {"status"},
         "Shows the accepted version and what the fleet reports.",
         operator_table()},
        {"key",
         {"key issue TEAM", "key withdraw KEY", "key list"},
         "Issues, withdraws and lists callers' keys.",
         operator_table()},
        {"explain",
         {"explain"},
         "Shows where a running gateway would send a request now, and why; sends nothing.",
         explain_table()},
    };
    return list;
}

std::string overview()
{
    std::string text =
        "snipespar serves LoRA adapters of one base model to many teams.\n\nUsage:\n";
    for (const auto& item : commands()) {
        for (const auto pattern : item.patterns) {
            text += fmt::format("  snipespar {} [options]\n", pattern);
        }
    }
    text += "  snipespar --help\n  snipespar --version\n\nCommands:\n";
    for (const auto& item : commands()) {
        text += fmt::format("  {}: {}\n", item.name, item.summary);
    }
    text += "\n`snipespar COMMAND --help` lists the settings of a command.\n"
            "Exit codes: 0 done, 1 failed, 2 bad usage or settings, 3 document, change or question "
            "refused, 4 platform or gateway unreachable.\n";
    return text;
}

std::string usage_lines(const command& item)
{
    std::string text = "Usage:\n";
    for (const auto pattern : item.patterns) {
        text += fmt::format("  snipespar {} [options]\n", pattern);
    }
    return text;
}

// The part of the help that docopt parses. Descriptions are left out, because its regular
// expressions recurse once per character.
std::string grammar(const command& item)
{
    std::string text = usage_lines(item) + "\nOptions:\n  --help\n";
    for (const auto& entry : item.table) {
        if (!entry.secret) {
            text += fmt::format("  {}={}\n", flag_of(entry), entry.placeholder);
        }
    }
    return text;
}

std::string presence_note(const setting& item)
{
    switch (item.given) {
    case presence::required:
        return "Required.";
    case presence::defaulted:
        return item.default_text.empty() ? "Default: none."
                                         : fmt::format("Default: {}.", item.default_text);
    case presence::optional:
        break;
    }
    return "Optional.";
}

std::string help(const command& item)
{
    std::string text = fmt::format("{}\n\n{}\nSettings:\n", item.summary, usage_lines(item));
    for (const auto& entry : item.table) {
        const auto name = entry.secret ? variable_of(entry)
                                       : fmt::format("{}={} or {}", flag_of(entry),
                                                     entry.placeholder, variable_of(entry));
        text += fmt::format("  {}\n      {} {}\n", name, entry.description, presence_note(entry));
    }
    return text;
}

text_map given_flags(const docopt_values& values, std::span<const setting> table)
{
    text_map flags;
    for (const auto& item : table) {
        const auto found = values.find(flag_of(item));
        if (found != values.end() && found->second.isString()) {
            flags[found->first] = found->second.asString();
        }
    }
    return flags;
}

std::vector<std::string> known_variables()
{
    std::vector<std::string> names;
    for (const auto& item : commands()) {
        for (const auto& entry : item.table) {
            names.push_back(variable_of(entry));
        }
    }
    return names;
}

entry_settings read_entry(settings_reader& reader)
{
    entry_settings settings{
        .listen = reader.read_or_empty("listen", parse_listen_endpoint),
        .link_listen = reader.read_or_empty("link-listen", parse_listen_endpoint),
        .admin_listen = reader.read_or_empty("admin-listen", parse_listen_endpoint),
        .platform = reader.read("platform", parse_endpoint),
        .config_file = reader.read("config-file", parse_path),
        .environment = reader.read_or_empty("environment", parse_name),
        .host = host_id(reader.read_or_empty("host", parse_name)),
        .failure_domain = failure_domain_id(reader.read_or_empty("failure-domain", parse_name)),
        .peers = reader.read_or_empty("peers", parse_endpoint_list),
        .max_body_bytes = reader.read_or_empty("max-body", parse_byte_size),
        .request_timeout = reader.read_or_empty("request-timeout", parse_duration),
        .drain_timeout = reader.read_or_empty("drain-timeout", parse_duration),
        .heartbeat = reader.read_or_empty("heartbeat", parse_duration),
        .traffic_threads = reader.read_or_empty("traffic-threads", parse_thread_count),
        .trace_endpoint = reader.read("trace-endpoint", parse_endpoint),
        .counters_interval = reader.read_or_empty("counters-interval", parse_duration),
        .seed = reader.read_or_empty("seed", parse_number),
        .fleet_secret = secret(reader.read_secret("fleet-secret", min_fleet_secret_bytes)),
    };
    if (reader.is_given("platform") == reader.is_given("config-file")) {
        reader.add_finding("--platform", "give exactly one of --platform and --config-file");
    }
    if (settings.drain_timeout != duration{} && settings.drain_timeout < settings.request_timeout) {
        reader.add_finding("--drain-timeout",
                           "is shorter than --request-timeout, so a drain would cut off requests");
    }
    return settings;
}

agent_settings read_agent(settings_reader& reader)
{
    return {
        .listen = reader.read_or_empty("listen", parse_listen_endpoint),
        .admin_listen = reader.read_or_empty("admin-listen", parse_listen_endpoint),
        .upstream = reader.read_or_empty("upstream", parse_endpoint),
        .id = upstream_id(reader.read_or_empty("upstream-id", parse_name)),
        .environment = reader.read_or_empty("environment", parse_name),
        .host = host_id(reader.read_or_empty("host", parse_name)),
        .failure_domain = failure_domain_id(reader.read_or_empty("failure-domain", parse_name)),
        .entries = reader.read_or_empty("entries", parse_endpoint_list),
        .drain_timeout = reader.read_or_empty("drain-timeout", parse_duration),
        .heartbeat = reader.read_or_empty("heartbeat", parse_duration),
        .longest_order_time = reader.read_or_empty("longest-order-time", parse_duration),
        .trace_endpoint = reader.read("trace-endpoint", parse_endpoint),
        .counters_interval = reader.read_or_empty("counters-interval", parse_duration),
        .seed = reader.read_or_empty("seed", parse_number),
        .fleet_secret = secret(reader.read_secret("fleet-secret", min_fleet_secret_bytes)),
    };
}

// Whether the platform starts the command, with values that it fills in. Only what nothing can
// replace ends such a start.
bool is_started_by_platform(const command& item)
{
    return item.name == "gateway" || item.name == "sidecar";
}

gateway_settings read_gateway(settings_reader& reader)
{
    return {
        .listen = reader.read_or_empty("listen", parse_listen_endpoint),
        .admin_listen = reader.read_or_empty("admin-listen", parse_listen_endpoint),
        .control_listen = reader.read_or_empty("control-listen", parse_listen_endpoint),
        .platform = reader.read_or_empty("platform", parse_endpoint),
        .host = host_id(reader.read_or_empty("host", parse_foreign_name)),
        .failure_domain =
            failure_domain_id(reader.read_or_empty("failure-domain", parse_optional_foreign_name)),
        .stop_grace = reader.read_or_default("stop-grace", parse_positive_time_span),
        .memory_limit = reader.read_or_default("memory-limit", parse_byte_size),
        .max_descriptors = reader.read_or_default("max-descriptors", parse_number),
        .store_recovery_bound = reader.read_or_default("store-recovery-bound", parse_time_span),
        .version_bound = reader.read_or_default("version-bound", parse_time_span),
        .leave_bound = reader.read_or_default("leave-bound", parse_time_span),
        .evacuation_bound = reader.read_or_default("evacuation-bound", parse_time_span),
        .retry_ratio = reader.read_or_default("retry-ratio", parse_real),
        .retry_slack = reader.read_or_default("retry-slack", parse_real),
        .seed = reader.read_or_default("seed", parse_number),
        .ignored = {},
    };
}

sidecar_settings read_sidecar(settings_reader& reader)
{
    return {
        .control_listen = reader.read_or_empty("control-listen", parse_listen_endpoint),
        .admin_listen = reader.read_or_empty("admin-listen", parse_listen_endpoint),
        .engine = reader.read_or_empty("engine", parse_endpoint),
        .host = host_id(reader.read_or_empty("host", parse_foreign_name)),
        .states_work = reader.read_or_default("placement", parse_placement) == placement_rule::work,
        .retention = reader.read_or_default("retention", parse_retention),
        .ignored = {},
    };
}

platform_access read_access(settings_reader& reader)
{
    return {
        .platform = reader.read_or_empty("platform", parse_endpoint),
        .timeout = reader.read_or_empty("platform-timeout", parse_duration),
    };
}

std::string read_environment(settings_reader& reader)
{
    return reader.read_or_empty("environment", parse_name);
}

// Reads a name from an argument, by the same rules as names in settings.
std::string read_argument(settings_reader& reader, const docopt_values& values,
                          const std::string& place)
{
    auto name = parse_name(values.at(place).asString());
    if (!name.ok()) {
        reader.add_finding(place, std::string(name.status().message()));
        return {};
    }
    return *std::move(name);
}

operator_settings read_key_command(settings_reader& reader, const docopt_values& values)
{
    auto access = read_access(reader);
    auto environment = read_environment(reader);
    if (values.at("issue").asBool()) {
        return key_issue_command{access, environment,
                                 team_id(read_argument(reader, values, "TEAM"))};
    }
    if (values.at("withdraw").asBool()) {
        return key_withdraw_command{access, environment,
                                    key_id(read_argument(reader, values, "KEY"))};
    }
    return key_list_command{access, environment};
}

promote_command read_promote(settings_reader& reader)
{
    promote_command result{
        .access = read_access(reader),
        .from = reader.read_or_empty("from", parse_name),
        .to = reader.read_or_empty("to", parse_name),
    };
    if (!result.from.empty() && result.from == result.to) {
        reader.add_finding("--to", "names the same environment as --from");
    }
    return result;
}

absl::StatusOr<explain_command::form> parse_form(std::string_view text)
{
    if (text == "table") {
        return explain_command::form::table;
    }
    if (text == "json") {
        return explain_command::form::json;
    }
    return absl::InvalidArgumentError(fmt::format("\"{}\" is not table or json", text));
}

explain_command read_explain(settings_reader& reader)
{
    explain_command result;
    result.gateway = reader.read_or_empty("gateway", parse_endpoint);
    result.timeout = reader.read_or_empty("gateway-timeout", parse_duration);
    result.query.host = reader.read_or_empty("request-host", parse_foreign_name);
    result.query.path = reader.read_or_empty("request-path", parse_request_path);
    const auto model = reader.read_or_empty("model", parse_optional_foreign_name);
    const auto slash = std::min(model.find('/'), model.size());
    result.query.model = model.substr(0, slash);
    result.query.adapter = model.substr(std::min(slash + 1, model.size()));
    result.query.team = reader.read_or_empty("team", parse_optional_foreign_name);
    result.query.prompt_tokens = reader.read_or_empty("prompt-tokens", parse_number);
    result.query.shared_tokens = reader.read_or_empty("shared-tokens", parse_number);
    result.query.session = reader.read_or_empty("session", parse_request_text);
    result.output = reader.read_or_empty("format", parse_form);
    return result;
}

operator_settings read_operator(const command& item, settings_reader& reader,
                                const docopt_values& values)
{
    if (item.name == "check") {
        return check_command{values.at("FILE").asString(), read_environment(reader)};
    }
    if (item.name == "apply") {
        return apply_command{read_access(reader), values.at("FILE").asString(),
                             read_environment(reader)};
    }
    if (item.name == "promote") {
        return read_promote(reader);
    }
    if (item.name == "status") {
        return status_command{read_access(reader), read_environment(reader)};
    }
    if (item.name == "explain") {
        return read_explain(reader);
    }
    return read_key_command(reader, values);
}

parsed_command read_command(const command& item, settings_reader& reader,
                            const docopt_values& values)
{
    if (item.name == "entry") {
        return read_entry(reader);
    }
    if (item.name == "agent") {
        return read_agent(reader);
    }
    if (item.name == "gateway") {
        return read_gateway(reader);
    }
    if (item.name == "sidecar") {
        return read_sidecar(reader);
    }
    return read_operator(item, reader, values);
}

printed_text usage_error(std::string_view reason, std::string_view usage)
{
    return {fmt::format("snipespar: {}\n\n{}", reason, usage), exit_code::usage};
}

parsed_command parse_command(const command& item, const std::vector<std::string>& arguments,
                             const text_map& environment)
{
    docopt_values values;
    try {
        values = docopt::docopt_parse(grammar(item), arguments, true, true);
    }
    catch (const docopt::DocoptExitHelp&) {
        return printed_text{help(item)};
    }
    catch (const docopt::DocoptExitVersion&) {
        return printed_text{std::string(version_text)};
    }
    catch (const docopt::DocoptArgumentError& error) {
        return usage_error(error.what(), usage_lines(item));
    }

    settings_reader reader(item.table, given_flags(values, item.table), environment);
    auto parsed = read_command(item, reader, values);
    reader.check_variables(known_variables(), is_started_by_platform(item));
    if (!reader.found().empty()) {
        return printed_text{to_string(reader.found()), exit_code::usage};
    }
    if (auto* gateway = std::get_if<gateway_settings>(&parsed)) {
        gateway->ignored = reader.warnings();
    }
    if (auto* sidecar = std::get_if<sidecar_settings>(&parsed)) {
        sidecar->ignored = reader.warnings();
    }
    return parsed;
}

} // namespace

parsed_command parse_command_line(const std::vector<std::string>& arguments,
                                  const text_map& environment)
{
    if (arguments.empty()) {
        return usage_error("a command is missing", overview());
    }
    const auto& name = arguments.front();
    if (name == "--help" || name == "-h") {
        return printed_text{overview()};
    }
    if (name == "--version") {
        return printed_text{std::string(version_text)};
    }
    const auto& list = commands();
    const auto found = std::find_if(list.begin(), list.end(),
                                    [&](const command& item) { return item.name == name; });
    if (found == list.end()) {
        return usage_error(fmt::format("unknown command \"{}\"", name), overview());
    }
    return parse_command(*found, arguments, environment);
}

} // namespace snipespar::cli
