#include "operator/run_operator.h"

#include "base/digest.h"
#include "cli/exit_code.h"
#include "config/document.h"
#include "config/document_change.h"
#include "config/key_change.h"
#include "config/promotion.h"
#include "operator/platform_session.h"
#include "operator/run_explain.h"

#include <algorithm>
#include <fmt/core.h>
#include <fstream>
#include <iterator>
#include <optional>

namespace snipespar::operators {

namespace {

using cli::exit_code;

constexpr std::size_t key_id_bytes = 6;
constexpr std::size_t key_secret_bytes = 32;

void print_error(const absl::Status& status)
{
    fmt::print(stderr, "{}\n", std::string(status.message()));
}

// Prints why a call to the platform failed.
exit_code report_failure(const absl::Status& status)
{
    print_error(status);
    const bool is_unreachable = absl::IsUnavailable(status) || absl::IsResourceExhausted(status);
    return is_unreachable ? exit_code::unreachable : exit_code::failed;
}

// Prints the result of a change.
exit_code report_change(const std::string& environment, const config::publish_result& result)
{
    if (result.version != 0) {
        fmt::print("{}: version {} accepted\n", environment, result.version);
        return exit_code::ok;
    }
    if (!result.problems.empty()) {
        fmt::print(stderr, "{}nothing was changed\n", to_string(result.problems));
        return exit_code::refused;
    }
    const auto code = report_failure(result.status);
    if (!absl::IsUnknown(result.status)) {
        fmt::print(stderr, "nothing was changed\n");
    }
    return code;
}

// Reads and validates a document; prints its errors and returns nothing if it is invalid.
std::optional<config::document> read_document(const std::string& path,
                                              const std::string& environment)
{
    std::ifstream file(path, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (!file) {
        fmt::print(stderr, "{}: cannot be read\n", path);
        return std::nullopt;
    }
    auto parsed = config::document::parse(text, path);
    if (const auto* problems = std::get_if<findings>(&parsed)) {
        fmt::print(stderr, "{}", to_string(*problems));
        return std::nullopt;
    }
    auto& read = std::get<config::document>(parsed);
    if (!environment.empty() && read.content().environment != environment) {
        fmt::print(stderr, "{}: is for environment `{}`, not `{}`\n", path,
                   read.content().environment, environment);
        return std::nullopt;
    }
    return std::move(read);
}

std::string describe(const config::snapshot& content)
{
    return fmt::format("{} teams, {} adapters, {} upstreams, {} routes", content.teams.size(),
                       content.adapters.size(), content.upstreams.size(), content.routes.size());
}

// Runs each command.
struct command_runner {
    exit_code operator()(const cli::check_command& command) const
    {
        const auto read = read_document(command.file, command.environment);
        if (!read) {
            return exit_code::refused;
        }
        fmt::print("{}: valid, {}\n", command.file, describe(read->content()));
        return exit_code::ok;
    }

    exit_code operator()(const cli::apply_command& command) const
    {
        const auto read = read_document(command.file, command.environment);
        if (!read) {
            return exit_code::refused;
        }
        const auto& environment = read->content().environment;
        config::document_change change(read->content());
        return report_change(environment,
                             platform_session(command.access)
                                 .publish(environment, [&](const config::snapshot& base) {
                                     return change.apply_to(base);
                                 }));
    }

    exit_code operator()(const cli::promote_command& command) const
    {
        const platform_session session(command.access);
        const auto source = session.load(command.from);
        if (!source.ok()) {
            return report_load(command.from, source.status());
        }
        config::promotion change(*source);
        return report_change(command.to,
                             session.publish(command.to, [&](const config::snapshot& base) {
                                 return change.apply_to(base);
                             }));
    }

    exit_code operator()(const cli::status_command& command) const
    {
        const platform_session session(command.access);
        const auto content = session.load(command.environment);
        if (!content.ok()) {
            return report_load(command.environment, content.status());
        }
        const auto standing = std::ranges::count_if(
            content->keys, [](const auto& item) { return !item.second.withdrawn; });
        fmt::print("environment {}\nversion {}\ncontent {}\nkeys {} standing, {} withdrawn\n",
                   command.environment, content->version, describe(*content), standing,
                   content->keys.size() - static_cast<std::size_t>(standing));
        for (const auto& host : session.perform(store::list_hosts{}).hosts) {
            fmt::print("host {} {} {} {}{}\n", host.host.str(), host.role,
                       host.failure_domain.str(), host.address, host.leaving ? " leaving" : "");
        }
        return exit_code::ok;
    }

    exit_code operator()(const cli::key_issue_command& command) const
    {
        const auto id = to_hex(random_bytes(key_id_bytes));
        const auto key = fmt::format("sk-{}-{}", id, to_hex(random_bytes(key_secret_bytes)));
        const config::key_issue change({key_id(id), command.team, sha256_hex(key), false});
        const auto result = platform_session(command.access)
                                .publish(command.environment, [&](const config::snapshot& base) {
                                    return change.apply_to(base);
                                });
        if (result.version != 0) {
            fmt::print("{}\n", key);
            fmt::print(stderr,
                       "key {} of team {} is accepted in version {}; it is shown this once\n", id,
                       command.team.str(), result.version);
            return exit_code::ok;
        }
        if (absl::IsUnknown(result.status)) {
            fmt::print(stderr, "if `key list` shows key {}, withdraw it and issue another\n", id);
        }
        return report_change(command.environment, result);
    }

    exit_code operator()(const cli::key_withdraw_command& command) const
    {
        const config::key_withdrawal change(command.key);
        return report_change(command.environment,
                             platform_session(command.access)
                                 .publish(command.environment, [&](const config::snapshot& base) {
                                     return change.apply_to(base);
                                 }));
    }

    exit_code operator()(const cli::key_list_command& command) const
    {
        const auto content = platform_session(command.access).load(command.environment);
        if (!content.ok()) {
            return report_load(command.environment, content.status());
        }
        for (const auto& [id, key] : content->keys) {
            fmt::print("{} {} {}\n", id.str(), key.team.str(),
                       key.withdrawn ? "withdrawn" : "standing");
        }
        return exit_code::ok;
    }

    exit_code operator()(const cli::explain_command& command) const { return run_explain(command); }

    static exit_code report_load(const std::string& environment, const absl::Status& status)
    {
        if (absl::IsNotFound(status)) {
            fmt::print(stderr, "{}: no document has been accepted yet\n", environment);
            return exit_code::refused;
        }
        return report_failure(status);
    }
};

} // namespace

int run_operator(const cli::operator_settings& settings)
{
    return static_cast<int>(std::visit(command_runner{}, settings));
}

} // namespace snipespar::operators
