#include "cli/command_line.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

namespace snipespar {

namespace {

using placeholder_values = std::map<std::string, std::string>;

// Settings of one host as the platform names them.
const placeholder_values sound_values{
    {"listen.front", "10.1.0.25:8221"},
    {"listen.readiness", "10.1.0.25:8224"},
    {"ip", "10.1.0.25"},
    {"port_range.0", "7600"},
    {"port_range.1", "7615"},
    {"platform.address", "10.200.1.7:8225"},
    {"node_id", "front-lk-west-a-1"},
    {"zone", "lk-west-a"},
    {"bounds.drain_ms", "2000"},
    {"bounds.evacuate_ms", "5000"},
    {"bounds.grace_s", "8"},
    {"limits.memory_mb", "260"},
    {"limits.max_fds", "4100"},
    {"bounds.retry_budget_ratio", "0.2"},
    {"bounds.budget_slack", "52"},
    {"app", "10.1.0.25:9000"},
};

std::string deploy_file()
{
    std::ifstream file(std::string(SNIPESPAR_SOURCE_DIR) + "/deploy/system.toml");
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::string value_of(const std::string& name)
{
    std::smatch match;
    const auto text = deploy_file();
    CPPUNIT_ASSERT(std::regex_search(text, match, std::regex("\n?" + name + " = \"([^\"]*)\"")));
    return match[1];
}

// Arguments of all roles without the program. A name without a value gives an empty text.
std::vector<std::vector<std::string>> rendered_commands(const placeholder_values& values)
{
    std::vector<std::vector<std::string>> commands;
    const auto text = deploy_file();
    const std::regex run_line("run = \"([^\"]*)\"");
    const std::regex placeholder("\\{\\{([^}]*)\\}\\}");
    for (std::sregex_iterator item(text.begin(), text.end(), run_line), end; item != end; ++item) {
        std::istringstream words((*item)[1].str());
        std::vector<std::string> arguments;
        std::string word;
        words >> word;
        while (words >> word) {
            for (std::smatch match; std::regex_search(word, match, placeholder);) {
                const auto found = values.find(match[1]);
                word = match.prefix().str() + (found == values.end() ? "" : found->second) +
                       match.suffix().str();
            }
            arguments.push_back(word);
        }
        commands.push_back(arguments);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, commands.size());
    return commands;
}

void assert_start(const placeholder_values& values)
{
    for (const auto& arguments : rendered_commands(values)) {
        const auto parsed =
            cli::parse_command_line(arguments, {{"PATH", "/usr/bin"}, {"LANG", "C"}});
        if (const auto* printed = std::get_if<cli::printed_text>(&parsed)) {
            CPPUNIT_FAIL(printed->text);
        }
    }
}

} // namespace

/// The deploy file's own lines.
class deploy_file_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(deploy_file_test);
    CPPUNIT_TEST(roles_start_with_the_values_of_a_host);
    CPPUNIT_TEST(roles_start_with_unusual_bounds);
    CPPUNIT_TEST(build_needs_no_compiler_cache);
    CPPUNIT_TEST_SUITE_END();

public:
    void roles_start_with_the_values_of_a_host() { assert_start(sound_values); }

    // Guards against roles that do not start because of one bound.
    void roles_start_with_unusual_bounds()
    {
        for (const std::string name :
             {"bounds.drain_ms", "bounds.grace_s", "limits.memory_mb", "limits.max_fds",
              "bounds.retry_budget_ratio", "bounds.budget_slack", "bounds.evacuate_ms", "zone"}) {
            auto values = sound_values;
            for (const std::string text : {"", "0", "2000.5", "2e3", "false", "null"}) {
                values[name] = text;
                assert_start(values);
            }
            values.erase(name);
            assert_start(values);
        }
    }

    // Guards against a build that fails for a user without a home folder.
    void build_needs_no_compiler_cache()
    {
        CPPUNIT_ASSERT(value_of("build").find("ccache") == std::string::npos);
        CPPUNIT_ASSERT(deploy_file().find("\"ccache\"") == std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(deploy_file_test);

} // namespace snipespar
