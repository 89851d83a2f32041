#include "limits/limits_codec.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace snipespar::limits {

namespace {

const incarnation some_process{host_id("entry-1"), 7};

std::vector<message_body> all_bodies()
{
    const limit_id team("team/a");
    const report_item report{3, 2, 9, {{team, 50}}, 8, {some_process}};
    allocation_table table;
    table.slots.at(1) = {4, some_process};
    return {batch_message{5,
                          {lend_item{team, 1, {0, 10, 10}}, give_back_item{team, 1, {2, 10, 3}},
                           claim_item{3, 1, 9}, report}},
            ack_message{6},
            credit_request{1, team, 10, 20},
            credit_answer{1, team, 6, true},
            recall_message{team, some_process},
            owners_request{2},
            owners_message{2, table},
            resume_request{3},
            resume_answer{3},
            closed_message{}};
}

} // namespace

class limits_codec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(limits_codec_test);
    CPPUNIT_TEST(every_message_round_trips);
    CPPUNIT_TEST(message_with_any_invalid_field_is_refused);
    CPPUNIT_TEST(values_out_of_range_are_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void every_message_round_trips()
    {
        for (const auto& body : all_bodies()) {
            const auto decoded = decode_message(encode(body));
            CPPUNIT_ASSERT(decoded.ok());
            CPPUNIT_ASSERT(*decoded == body);
        }
    }

    void message_with_any_invalid_field_is_refused()
    {
        for (const auto& body : all_bodies()) {
            const auto whole = encode(body);
            for (const auto& [name, field] : whole.items()) {
                auto damaged = whole;
                damaged[name] = nlohmann::json::object({{"unexpected", -1}});
                CPPUNIT_ASSERT_MESSAGE(whole.dump() + " " + name, !decode_message(damaged).ok());
            }
        }
        CPPUNIT_ASSERT(!decode_message(nlohmann::json(3)).ok());
        CPPUNIT_ASSERT(!decode_table(nlohmann::json::array()).ok());
    }

    void values_out_of_range_are_refused()
    {
        auto batch = encode(all_bodies().front());
        const auto rejected_with = [&](const char* field, const nlohmann::json& value) {
            auto changed = batch;
            changed["items"][0][field] = value;
            return !decode_message(changed).ok();
        };
        CPPUNIT_ASSERT(rejected_with("slot", slot_count));
        CPPUNIT_ASSERT(rejected_with("capacity", std::uint64_t{1} << 63U));
        CPPUNIT_ASSERT(rejected_with("capacity", -1));
        CPPUNIT_ASSERT(rejected_with("level", 11));
        CPPUNIT_ASSERT(rejected_with("kind", "gift"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limits_codec_test);

} // namespace snipespar::limits
