#include "cli/command_line.h"

#include <chrono>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace snipespar::cli {

using namespace std::chrono_literals;

namespace {

const std::string good_secret(32, 's');

// The shortest valid command line of an entry, followed by `more`.
std::vector<std::string> entry_arguments(const std::vector<std::string>& more = {})
{
    std::vector<std::string> arguments{"entry", "--host=h1", "--failure-domain=z1",
                                       "--platform=127.0.0.1:7000"};
    arguments.insert(arguments.end(), more.begin(), more.end());
    return arguments;
}

text_map with_secret(text_map variables = {})
{
    variables["SNIPESPAR_FLEET_SECRET"] = good_secret;
    return variables;
}

entry_settings parse_entry(const std::vector<std::string>& more, const text_map& variables = {})
{
    const auto parsed = parse_command_line(entry_arguments(more), with_secret(variables));
    if (const auto* const printed = std::get_if<printed_text>(&parsed)) {
        CPPUNIT_FAIL(printed->text);
    }
    return std::get<entry_settings>(parsed);
}

// The shortest valid command line of a gateway. A flag of `more` replaces the one given before.
std::vector<std::string> gateway_arguments(const std::vector<std::string>& more)
{
    std::map<std::string, std::string> flags{{"--listen", "127.0.0.1:1"},
                                             {"--admin-listen", "127.0.0.1:2"},
                                             {"--control-listen", "127.0.0.1:3"},
                                             {"--platform", "127.0.0.1:4"},
                                             {"--host", "h1"},
                                             {"--failure-domain", "z1"}};
    for (const auto& item : more) {
        flags[item.substr(0, item.find('='))] = item.substr(item.find('=') + 1);
    }
    std::vector<std::string> arguments{"gateway"};
    for (const auto& [flag, value] : flags) {
        arguments.push_back(fmt::format("{}={}", flag, value));
    }
    return arguments;
}

template <class Settings>
Settings parse_role(const std::vector<std::string>& arguments, const text_map& variables)
{
    const auto parsed = parse_command_line(arguments, variables);
    if (const auto* const printed = std::get_if<printed_text>(&parsed)) {
        CPPUNIT_FAIL(printed->text);
    }
    return std::get<Settings>(parsed);
}

gateway_settings parse_gateway(const std::vector<std::string>& more, const text_map& variables = {})
{
    return parse_role<gateway_settings>(gateway_arguments(more), variables);
}

sidecar_settings parse_sidecar(const std::vector<std::string>& more, const text_map& variables = {})
{
    std::vector<std::string> arguments{"sidecar", "--control-listen=127.0.0.1:3",
                                       "--admin-listen=127.0.0.1:2", "--engine=127.0.0.1:5"};
    if (more.empty()) {
        arguments.emplace_back("--host=h1");
    }
    arguments.insert(arguments.end(), more.begin(), more.end());
    return parse_role<sidecar_settings>(arguments, variables);
}

printed_text parse_failure(const std::vector<std::string>& arguments, const text_map& variables)
{
    const auto parsed = parse_command_line(arguments, variables);
    CPPUNIT_ASSERT(std::holds_alternative<printed_text>(parsed));
    auto printed = std::get<printed_text>(parsed);
    CPPUNIT_ASSERT(printed.code == exit_code::usage);
    return printed;
}

void assert_contains(const std::string& text, const std::string& part)
{
    CPPUNIT_ASSERT_MESSAGE("no \"" + part + "\" in: " + text, text.find(part) != std::string::npos);
}

template <class Command>
Command parse_operator(const std::vector<std::string>& arguments)
{
    const auto parsed = parse_command_line(arguments, {});
    CPPUNIT_ASSERT(std::holds_alternative<operator_settings>(parsed));
    return std::get<Command>(std::get<operator_settings>(parsed));
}

} // namespace

class cli_command_line_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(cli_command_line_test);
    CPPUNIT_TEST(flag_wins_over_variable_over_default);
    CPPUNIT_TEST(all_findings_are_reported_with_their_places);
    CPPUNIT_TEST(secret_is_never_a_flag_and_never_shown);
    CPPUNIT_TEST(misspelt_variable_is_a_finding);
    CPPUNIT_TEST(exactly_one_source_of_configuration);
    CPPUNIT_TEST(drain_shorter_than_a_request_is_a_finding);
    CPPUNIT_TEST(agent_settings_are_typed);
    CPPUNIT_TEST(values_that_the_platform_renders_otherwise_are_read);
    CPPUNIT_TEST(unusable_value_gives_way_to_the_default);
    CPPUNIT_TEST(foreign_variable_does_not_end_a_start);
    CPPUNIT_TEST(any_name_of_a_host_is_taken);
    CPPUNIT_TEST(what_has_no_default_is_a_finding);
    CPPUNIT_TEST(operator_commands_are_typed);
    CPPUNIT_TEST(bad_usage_is_named);
    CPPUNIT_TEST(help_and_version_succeed);
    CPPUNIT_TEST_SUITE_END();

public:
    void flag_wins_over_variable_over_default()
    {
        CPPUNIT_ASSERT(duration(120s) == parse_entry({}).request_timeout);
        const text_map variables{{"SNIPESPAR_REQUEST_TIMEOUT", "20s"}};
        CPPUNIT_ASSERT(duration(20s) == parse_entry({}, variables).request_timeout);
        const auto settings = parse_entry({"--request-timeout=30s"}, variables);
        CPPUNIT_ASSERT(duration(30s) == settings.request_timeout);
        CPPUNIT_ASSERT(!settings.trace_endpoint.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("h1"), settings.host.str());
        CPPUNIT_ASSERT(settings.fleet_secret.reveal() == good_secret);
    }

    void all_findings_are_reported_with_their_places()
    {
        const auto printed = parse_failure(
            {"entry", "--listen=nowhere", "--max-body=0", "--platform=127.0.0.1:7000"},
            {{"SNIPESPAR_HEARTBEAT", "soon"}});
        for (const std::string place :
             {"--listen: ", "--max-body: ", "SNIPESPAR_HEARTBEAT: ", "--host: ",
              "--failure-domain: ", "SNIPESPAR_FLEET_SECRET: "}) {
            assert_contains(printed.text, place);
        }
    }

    void secret_is_never_a_flag_and_never_shown()
    {
        const auto short_secret =
            parse_failure(entry_arguments(), {{"SNIPESPAR_FLEET_SECRET", "tiny-value"}});
        assert_contains(short_secret.text, "SNIPESPAR_FLEET_SECRET: is shorter than 32 bytes");
        CPPUNIT_ASSERT(short_secret.text.find("tiny-value") == std::string::npos);
        parse_failure(entry_arguments({"--fleet-secret=" + good_secret}), with_secret());
    }

    void misspelt_variable_is_a_finding()
    {
        const auto printed =
            parse_failure(entry_arguments(), with_secret({{"SNIPESPAR_LISTN", "127.0.0.1:1"}}));
        assert_contains(printed.text, "SNIPESPAR_LISTN: names no setting");
        // Variables of other commands may be set for the whole host.
        parse_entry({}, {{"SNIPESPAR_UPSTREAM", "127.0.0.1:1"}});
    }

    void exactly_one_source_of_configuration()
    {
        const auto both = parse_failure(entry_arguments({"--config-file=f"}), with_secret());
        assert_contains(both.text, "exactly one of --platform and --config-file");
        const auto none = parse_failure({"entry", "--host=h", "--failure-domain=z"}, with_secret());
        assert_contains(none.text, "exactly one of --platform and --config-file");
    }

    void drain_shorter_than_a_request_is_a_finding()
    {
        const auto printed = parse_failure(
            entry_arguments({"--drain-timeout=5s", "--request-timeout=6s"}), with_secret());
        assert_contains(printed.text, "--drain-timeout: ");
    }

    void agent_settings_are_typed()
    {
        const auto parsed = parse_command_line(
            {"agent", "--upstream=127.0.0.1:9", "--upstream-id=e1", "--host=h1",
             "--failure-domain=z1", "--entries=127.0.0.1:1,127.0.0.1:2", "--seed=7"},
            with_secret());
        CPPUNIT_ASSERT(std::holds_alternative<agent_settings>(parsed));
        const auto& settings = std::get<agent_settings>(parsed);
        CPPUNIT_ASSERT_EQUAL(std::string("e1"), settings.id.str());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, settings.entries.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, settings.seed);
    }

    // Guards against gateways that do not start because a number has another spelling.
    void values_that_the_platform_renders_otherwise_are_read()
    {
        for (const std::string text :
             {"2000ms", "2000.0ms", "2e3ms", "2E+3ms", "2.0s", "+2000ms"}) {
            const auto settings = parse_gateway({"--leave-bound=" + text});
            CPPUNIT_ASSERT_MESSAGE(text, duration(2s) == settings.leave_bound);
        }
        CPPUNIT_ASSERT(duration{} == parse_gateway({"--leave-bound=0ms"}).leave_bound);
        CPPUNIT_ASSERT(duration(2500us) == parse_gateway({"--leave-bound=2.5ms"}).leave_bound);
        CPPUNIT_ASSERT_EQUAL(52.0, parse_gateway({"--retry-slack=5.2e1"}).retry_slack);
    }

    // Guards against gateways that do not start because an optional value is odd or absent.
    void unusable_value_gives_way_to_the_default()
    {
        const auto standard = parse_gateway({});
        for (const std::string text : {"ms", "", "nullms", "-5ms", "1e300ms", "nanms", "2000"}) {
            CPPUNIT_ASSERT_MESSAGE(text, standard.leave_bound ==
                                             parse_gateway({"--leave-bound=" + text}).leave_bound);
            CPPUNIT_ASSERT_MESSAGE(text, standard.stop_grace ==
                                             parse_gateway({"--stop-grace=" + text}).stop_grace);
        }
        for (const std::string text : {"", "false", "-1", "inf", "1,5"}) {
            CPPUNIT_ASSERT_EQUAL(standard.retry_ratio,
                                 parse_gateway({"--retry-ratio=" + text}).retry_ratio);
            CPPUNIT_ASSERT_EQUAL(standard.retry_slack,
                                 parse_gateway({"--retry-slack=" + text}).retry_slack);
        }
        CPPUNIT_ASSERT_EQUAL(standard.seed, parse_gateway({"--seed=soon"}).seed);
    }

    // Guards against roles that do not start beside variables that the platform sets.
    void foreign_variable_does_not_end_a_start()
    {
        const text_map variables{{"SNIPESPAR_ZONE", "a"}, {"SNIPESPAR_LEAVE_BOUND", ""}};
        CPPUNIT_ASSERT(parse_gateway({}).leave_bound == parse_gateway({}, variables).leave_bound);
        CPPUNIT_ASSERT_EQUAL(std::string("h1"), parse_sidecar({}, variables).host.str());
    }

    // Guards against roles that do not start because the platform names hosts otherwise.
    void any_name_of_a_host_is_taken()
    {
        for (const std::string& name : {std::string("front/a:1"), std::string("h\xc3\xa9"),
                                        std::string(200, 'a'), std::string("i-1@b#2")}) {
            CPPUNIT_ASSERT_EQUAL(name, parse_gateway({"--host=" + name}).host.str());
            CPPUNIT_ASSERT_EQUAL(name, parse_sidecar({"--host=" + name}).host.str());
        }
        CPPUNIT_ASSERT_EQUAL(std::string(),
                             parse_gateway({"--failure-domain="}).failure_domain.str());
    }

    void what_has_no_default_is_a_finding()
    {
        assert_contains(parse_failure(gateway_arguments({"--listen=nowhere"}), {}).text,
                        "--listen: \"nowhere\"");
        assert_contains(parse_failure(gateway_arguments({"--platform="}), {}).text, "--platform: ");
        assert_contains(parse_failure(gateway_arguments({"--host="}), {}).text, "--host: ");
    }

    void operator_commands_are_typed()
    {
        const std::string platform = "--platform=127.0.0.1:7000";
        const platform_access access{{"127.0.0.1", 7000}, 10s};
        CPPUNIT_ASSERT((check_command{"f.yaml", "trial"}) ==
                       parse_operator<check_command>({"check", "f.yaml"}));
        CPPUNIT_ASSERT((apply_command{access, "f.yaml", "trial"}) ==
                       parse_operator<apply_command>({"apply", "f.yaml", platform}));
        CPPUNIT_ASSERT((promote_command{access, "trial", "production"}) ==
                       parse_operator<promote_command>({"promote", platform}));
        CPPUNIT_ASSERT(
            (status_command{access, "production"}) ==
            parse_operator<status_command>({"status", platform, "--environment=production"}));
        CPPUNIT_ASSERT((key_issue_command{access, "trial", team_id("shop")}) ==
                       parse_operator<key_issue_command>({"key", "issue", "shop", platform}));
        CPPUNIT_ASSERT((key_withdraw_command{access, "trial", key_id("k1")}) ==
                       parse_operator<key_withdraw_command>({"key", "withdraw", "k1", platform}));
        CPPUNIT_ASSERT((key_list_command{access, "trial"}) ==
                       parse_operator<key_list_command>({"key", "list", platform}));
        const auto asked = parse_operator<explain_command>(
            {"explain", "--gateway=127.0.0.1:9", "--request-host=a.example", "--request-path=/s/x",
             "--model=base/a1", "--prompt-tokens=12", "--format=json"});
        CPPUNIT_ASSERT((explain_command{{"127.0.0.1", 9},
                                        5s,
                                        {"a.example", "/s/x", "base", "a1", {}, 12, 0, {}},
                                        explain_command::form::json}) == asked);
        parse_failure({"promote", platform, "--from=a", "--to=a"}, {});
        parse_failure({"key", "issue", "a b", platform}, {});
    }

    void bad_usage_is_named()
    {
        assert_contains(parse_failure({}, {}).text, "a command is missing");
        assert_contains(parse_failure({"sreve"}, {}).text, "unknown command \"sreve\"");
        assert_contains(parse_failure({"entry", "--bogus"}, {}).text, "--bogus");
        assert_contains(parse_failure({"check"}, {}).text, "snipespar check FILE");
        assert_contains(parse_failure({"key"}, {}).text, "snipespar key issue TEAM");
        const auto question =
            parse_failure({"explain", "--gateway=x", "--request-host=a", "--request-path=s",
                           "--prompt-tokens=-1", "--format=xml"},
                          {});
        for (const std::string place :
             {"--gateway: ", "--request-path: ", "--prompt-tokens: ", "--format: "}) {
            assert_contains(question.text, place);
        }
        parse_failure({"entry", "stray"}, {});
        parse_failure({"entry", "--host"}, {});
    }

    void help_and_version_succeed()
    {
        for (const std::string command :
             {"entry", "agent", "check", "apply", "promote", "status", "key", "explain"}) {
            const auto parsed = parse_command_line({command, "--help"}, {});
            CPPUNIT_ASSERT(std::get<printed_text>(parsed).code == exit_code::ok);
        }
        const auto version = std::get<printed_text>(parse_command_line({"--version"}, {}));
        CPPUNIT_ASSERT(version.code == exit_code::ok);
        assert_contains(version.text, "snipespar ");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cli_command_line_test);

} // namespace snipespar::cli
