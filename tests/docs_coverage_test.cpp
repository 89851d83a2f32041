#include "cli/setting.h"
#include "cli/setting_tables.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace snipespar {

namespace {

namespace fs = std::filesystem;

const fs::path root = SNIPESPAR_SOURCE_DIR;

std::string read_file(const fs::path& path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::string read_folder(const fs::path& folder, const std::string& extension)
{
    std::string text;
    for (const auto& item : fs::recursive_directory_iterator(folder)) {
        if (item.path().extension() == extension) {
            text += read_file(item.path());
        }
    }
    return text;
}

std::string operators_docs()
{
    return read_file(root / "docs/OPERATIONS.md") + read_folder(root / "docs/operations", ".md");
}

// First capture group of every match of the pattern in the text.
std::set<std::string> matches(const std::string& text, const std::string& pattern)
{
    const std::regex expression(pattern);
    std::set<std::string> found;
    for (std::sregex_iterator item(text.begin(), text.end(), expression), end; item != end;
         ++item) {
        found.insert((*item)[1]);
    }
    return found;
}

void assert_named(const std::string& docs, const std::string& name)
{
    CPPUNIT_ASSERT_MESSAGE(name + " is not documented", docs.find("`" + name) != std::string::npos);
}

} // namespace

/// Everything visible to operators and callers must be documented.
class docs_coverage_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(docs_coverage_test);
    CPPUNIT_TEST(every_setting_is_documented);
    CPPUNIT_TEST(every_metric_is_documented);
    CPPUNIT_TEST(every_refusal_is_documented);
    CPPUNIT_TEST(every_cause_and_event_of_the_gateway_is_documented);
    CPPUNIT_TEST_SUITE_END();

public:
    void every_setting_is_documented()
    {
        const auto docs = operators_docs();
        for (const auto table : {cli::entry_table(), cli::agent_table(), cli::gateway_table(),
                                 cli::sidecar_table(), cli::operator_table(), cli::promote_table(),
                                 cli::check_table(), cli::explain_table()}) {
            for (const auto& item : table) {
                assert_named(docs, cli::variable_of(item));
            }
        }
    }

    void every_metric_is_documented()
    {
        const auto sources = read_folder(root / "src", ".cpp") + read_folder(root / "src", ".h");
        const auto names = matches(sources, "\"(snipespar_[a-z_]+_(?:total|seconds)|"
                                            "snipespar_(?:config|agent|peer|gateway)_[a-z_]+)\"");
        CPPUNIT_ASSERT(names.size() > 5);
        const auto docs = operators_docs();
        for (const auto& name : names) {
            assert_named(docs, name);
        }
    }

    void every_cause_and_event_of_the_gateway_is_documented()
    {
        const auto sources =
            read_folder(root / "src/gateway", ".cpp") + read_folder(root / "src/sidecar", ".cpp");
        auto names = matches(sources, "\\{[45][0-9][0-9], \"([a-z_]+)\"");
        names.merge(matches(sources, "give_up\\(\"([a-z_]+)\"\\)"));
        names.merge(matches(sources, "log_?\\.(?:info|warning|error)\\(\\s*\"([a-z_]+)\""));
        CPPUNIT_ASSERT(names.size() > 15);
        const auto docs = operators_docs();
        for (const auto& name : names) {
            assert_named(docs, name);
        }
    }

    void every_refusal_is_documented()
    {
        auto codes = matches(read_folder(root / "src/entry", ".cpp"),
                             "\\{\\s*[45][0-9][0-9],\\s*\"([a-z_]+)\"");
        codes.merge(
            matches(read_file(root / "src/route/request_lifecycle.cpp"), "return \"([a-z-]+)\";"));
        codes.merge(
            matches(read_file(root / "src/config/access_error.h"), "return \"([a-z_]+)\";"));
        codes.erase("complete");
        codes.erase("caller-gone"); // Never sent: the caller has disconnected.
        CPPUNIT_ASSERT(codes.size() > 10);
        const auto docs = read_file(root / "docs/API.md");
        for (const auto& code : codes) {
            assert_named(docs, code);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(docs_coverage_test);

} // namespace snipespar
