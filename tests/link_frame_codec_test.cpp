#include "base/cbor.h"
#include "link/frame_codec.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace snipespar::link {

class frame_codec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(frame_codec_test);
    CPPUNIT_TEST(every_field_survives);
    CPPUNIT_TEST(later_fields_are_skipped);
    CPPUNIT_TEST(each_truncation_is_refused);
    CPPUNIT_TEST(deep_nesting_is_refused);
    CPPUNIT_TEST(huge_claimed_length_is_refused);
    CPPUNIT_TEST(number_out_of_range_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void every_field_survives()
    {
        const auto request = sample_request();
        const auto decoded = decode(encode(request));
        CPPUNIT_ASSERT(decoded.ok());
        CPPUNIT_ASSERT(request == *decoded);

        const frame report = upstream_report{true, false, 2, 3, 40, {"a@1", "b@2"}, "v1"};
        const frame begun = started{7, "v1"};
        CPPUNIT_ASSERT(begun == *decode(encode(begun)));
        CPPUNIT_ASSERT(report == *decode(encode(report)));
        const frame failure = failed{7, run_state::ran, "upstream_died", 100};
        CPPUNIT_ASSERT(failure == *decode(encode(failure)));
    }

    void later_fields_are_skipped()
    {
        auto fields = *from_cbor(encode(cancel{9}));
        fields.push_back("field of a later version");
        CPPUNIT_ASSERT(frame(cancel{9}) == *decode(to_cbor(fields)));
    }

    void each_truncation_is_refused()
    {
        const std::string whole = encode(sample_request());
        for (std::size_t length = 0; length < whole.size(); ++length) {
            CPPUNIT_ASSERT(!decode(whole.substr(0, length)).ok());
        }
        CPPUNIT_ASSERT(!decode(whole + "x").ok());
    }

    void deep_nesting_is_refused()
    {
        constexpr char array_of_one = '\x81';
        CPPUNIT_ASSERT(!decode(std::string(max_frame_bytes, array_of_one)).ok());
    }

    void huge_claimed_length_is_refused()
    {
        CPPUNIT_ASSERT(!decode(std::string(12, '\x9b')).ok());
        CPPUNIT_ASSERT(!decode(std::string(12, '\xbb')).ok());
    }

    void number_out_of_range_is_refused()
    {
        auto fields = *from_cbor(encode(response_head{1, 200, {}}));
        fields[2] = std::uint64_t{1} << 40U;
        const auto decoded = decode(to_cbor(fields));
        CPPUNIT_ASSERT(!decoded.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("frame type 11: bad field 2"),
                             std::string(decoded.status().message()));
    }

private:
    static frame sample_request()
    {
        run_request request;
        request.stream = 5;
        request.request_id = "r-1";
        request.attempt = 2;
        request.team = team_id("baguio");
        request.key = key_id("k1");
        request.adapter = {adapter_id("blurb"), "3"};
        request.headers = {{"accept", "text/event-stream"}};
        request.body = std::string("{\"prompt\":\"\0\xff\"}", 15);
        request.max_tokens = 64;
        request.idempotent = true;
        request.fingerprint = ~std::uint64_t{0};
        request.software = "v1";
        return request;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(frame_codec_test);

} // namespace snipespar::link
