#include "cli/command_line.h"

#include <chrono>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
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
        parse_failure({"entry", "stray"}, {});
        parse_failure({"entry", "--host"}, {});
    }

    void help_and_version_succeed()
    {
        for (const std::string command :
             {"entry", "agent", "check", "apply", "promote", "status", "key"}) {
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
