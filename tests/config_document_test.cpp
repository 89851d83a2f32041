#include "config/document.h"

#include "config/snapshot_codec.h"

#include <algorithm>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace snipespar::config {

namespace {

constexpr std::string_view good = R"(environment: trial
priority_levels:
  gold: { weight: 4 }
teams:
  north: { priority: gold, rate_tokens_per_s: 100, burst_tokens: 1000 }
upstreams:
  e1: { kind: engine, serves: base, host: h1, failure_domain: d1, agent: "127.0.0.1:7201", adapter_slots: 2 }
  s1: { kind: service, serves: stock, host: h2, failure_domain: d2, agent: "127.0.0.1:7202" }
adapters:
  a1:
    base_model: base
    versions: { v1: "store://a1/v1" }
    grants: { north: { default_version: v1 } }
routes:
  stock: { path_prefix: /stock, service: stock, idempotent_methods: [GET] }
)";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    CPPUNIT_ASSERT(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

findings faults(const std::string& text)
{
    const auto result = document::parse(text, "t.yaml");
    const auto* list = std::get_if<findings>(&result);
    return list == nullptr ? findings{} : *list;
}

} // namespace

class config_document_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(config_document_test);
    CPPUNIT_TEST(good_document_round_trips_through_its_stored_form);
    CPPUNIT_TEST(each_fault_is_reported_with_its_place);
    CPPUNIT_TEST(all_faults_are_reported_together);
    CPPUNIT_TEST(malformed_text_gives_findings);
    CPPUNIT_TEST(damaged_stored_form_is_refused);
    CPPUNIT_TEST_SUITE_END();

    static void expect(const std::string& from, const std::string& to, const std::string& place,
                       const std::string& part)
    {
        const auto list = faults(replaced(std::string(good), from, to));
        const auto matches = [&](const finding& item) {
            return item.place == "t.yaml:" + place && item.message.find(part) != std::string::npos;
        };
        CPPUNIT_ASSERT_MESSAGE(from + " -> " + to + "\n" + to_string(list),
                               std::ranges::any_of(list, matches));
    }

public:
    void good_document_round_trips_through_its_stored_form()
    {
        const auto result = document::parse(good, "t.yaml");
        CPPUNIT_ASSERT_EQUAL(std::string(), to_string(faults(std::string(good))));
        auto content = std::get<document>(result).content();
        CPPUNIT_ASSERT_EQUAL(4.0, content.teams.at(team_id("north")).weight);
        content.version = 7;
        content.keys.emplace(key_id("k"), api_key{key_id("k"), team_id("north"), "ab", true});
        const auto decoded = decode_snapshot(encode(content));
        CPPUNIT_ASSERT(decoded.ok());
        CPPUNIT_ASSERT(*decoded == content);
    }

    void each_fault_is_reported_with_its_place()
    {
        expect("burst_tokens", "burst", "5:52", "did you mean `burst_tokens`?");
        expect("burst_tokens: 1000", "burst_tokens: -1", "5:66", "at least 1");
        expect("priority: gold", "priority: glod", "5:22", "no priority level `glod`");
        expect("north: { default", "nroth: { default", "13:15", "no team `nroth`");
        expect("default_version: v1", "default_version: v2", "13:15", "no version `v2`");
        expect("base_model: base", "base_model: other", "10:3", "no engine serves");
        expect("service: stock,", "service: shop,", "15:3", "no upstream serves");
        expect("127.0.0.1:7202", "127.0.0.1:7201", "8:3", "another upstream");
        expect("127.0.0.1:7202", "localhost:7202", "8:76", "IP address and port");
        expect("127.0.0.1:7202", "127.0.0.1:70000", "8:76", "IP address and port");
        expect("  s1:", "  e1:", "8:3", "appears twice");
        expect("/stock,", "stock,", "15:25", "must start with");
        expect("{ v1: \"store://a1/v1\" }", "[v1]", "12:15", "must be a mapping");
        expect("environment: trial", "environment: [trial]", "1:14", "non-empty string");
    }

    void all_faults_are_reported_together()
    {
        auto text = replaced(std::string(good), "priority: gold", "priority: none");
        text = replaced(text, "kind: engine", "kind: motor");
        text = replaced(text, "path_prefix: /stock", "prefix: /stock");
        CPPUNIT_ASSERT(faults(text).size() >= 4);
    }

    void malformed_text_gives_findings()
    {
        for (const std::string text : {"", "[", "a: b: c", "---\na: 1\n---\nb: 2", "&a [*a]",
                                       "? {x: y}\n: z", ",", "\xff\xfe"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !faults(text).empty());
        }
        CPPUNIT_ASSERT(!faults(std::string(100000, '[')).empty());
    }

    void damaged_stored_form_is_refused()
    {
        const auto result = document::parse(good, "t.yaml");
        const auto stored = encode(std::get<document>(result).content());
        CPPUNIT_ASSERT(!decode_snapshot(stored.substr(0, stored.size() / 2)).ok());
        CPPUNIT_ASSERT(!decode_snapshot("[]").ok());
        CPPUNIT_ASSERT(
            !decode_snapshot(replaced(stored, "\"weight\":4.0", "\"weight\":-4.0")).ok());
        CPPUNIT_ASSERT(!decode_snapshot(replaced(stored, "7201", "72010")).ok());
        CPPUNIT_ASSERT(!decode_snapshot(replaced(stored, "\"engine\"", "\"motor\"")).ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_document_test);

} // namespace snipespar::config
