#include "claims/claim_codec.h"
#include "support/seeded_check.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace snipespar::claims {

namespace {

const claim_nonce nonce{{host_id("entry1"), 0xfedcba9876543210U}, 7};
const wall_time moment{std::chrono::milliseconds(1764795000123)};

recorded_answer binary_answer()
{
    const std::string body("\x00\xff\x80 body", 8);
    return {201, "application/octet-stream", digest_of(body), body};
}

std::vector<journal_record> records()
{
    const digest key = digest_of("key");
    return {{key, nonce, record_kind::claimed, digest_of("request"), moment, {}},
            {key, nonce, record_kind::finished, digest_of("request"), moment, binary_answer()}};
}

std::vector<claim_message> messages()
{
    recorded_answer no_body = binary_answer();
    no_body.body.reset();
    const digest key = digest_of("key");
    const duration span = std::chrono::seconds(3);
    return {forwarded_claim{key, nonce, digest_of("request"), span},
            claim_reply{nonce, claim_granted{}},
            claim_reply{nonce, claim_replayed{no_body}},
            claim_reply{nonce, claim_in_progress{span}},
            claim_reply{nonce, claim_outcome_unknown{}},
            claim_reply{nonce, claim_mismatched{}},
            claim_reply{nonce, claim_refused{span, true}},
            reply_receipt{nonce},
            forwarded_outcome{{key, nonce, digest_of("r"), record_kind::finished, no_body}},
            forwarded_outcome{{key, nonce, digest_of("r"), record_kind::released, {}}},
            outcome_reply{nonce}};
}

// Collects the copies of `value` in which one member at any depth is replaced.
void corrupted_copies(const nlohmann::json& value, std::vector<nlohmann::json>& copies)
{
    const nlohmann::json flat = value.flatten();
    for (const auto& [path, leaf] : flat.items()) {
        for (const auto& other : {nlohmann::json(nullptr), nlohmann::json(-1), nlohmann::json("?"),
                                  nlohmann::json::array({1})}) {
            nlohmann::json copy = value;
            copy[nlohmann::json::json_pointer(path)] = other;
            copies.push_back(std::move(copy));
        }
    }
}

} // namespace

class claims_codec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(claims_codec_test);
    CPPUNIT_TEST(objects_round_trip_through_json);
    CPPUNIT_TEST(messages_round_trip_through_cbor);
    CPPUNIT_TEST(invalid_input_gives_an_error);
    CPPUNIT_TEST_SUITE_END();

public:
    void objects_round_trip_through_json()
    {
        const seal_reservation reservation{3, 18, nonce.claimer};
        const journal_page page{{{2, 17, moment}, {0, 21, moment}}, reservation, records()};
        for (const object_value& value : {object_value(page), object_value(journal_page{}),
                                          object_value(journal_segment{records()})}) {
            const auto read = decode_object(nlohmann::json::parse(encode(value).dump()));
            CPPUNIT_ASSERT(read.ok() && *read == value);
        }
    }

    void messages_round_trip_through_cbor()
    {
        for (const auto& message : messages()) {
            const auto bytes = nlohmann::json::to_cbor(encode(message));
            const auto read = decode_message(nlohmann::json::from_cbor(bytes));
            CPPUNIT_ASSERT(read.ok() && *read == message);
        }
    }

    void invalid_input_gives_an_error()
    {
        for (const auto& message : messages()) {
            std::vector<nlohmann::json> copies;
            corrupted_copies(encode(message), copies);
            for (const auto& copy : copies) {
                const auto read = decode_message(copy);
                CPPUNIT_ASSERT(!read.ok() || encode(*read) == copy);
            }
        }
        std::vector<nlohmann::json> pages;
        corrupted_copies(encode(object_value(journal_page{{{2, 17, moment}}, {}, records()})),
                         pages);
        for (const auto& copy : pages) {
            const auto read = decode_object(copy);
            CPPUNIT_ASSERT(!read.ok() || encode(*read) == copy);
        }
        for (const char* text : {"1", "[]", "null", "{}", R"({"type":5})", R"({"kind":"x"})"}) {
            CPPUNIT_ASSERT(!decode_message(nlohmann::json::parse(text)).ok());
            CPPUNIT_ASSERT(!decode_object(nlohmann::json::parse(text)).ok());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claims_codec_test);

} // namespace snipespar::claims
