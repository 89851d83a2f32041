#include "limits/token_bucket.h"
#include "support/limit_oracle.h"
#include "support/seeded_check.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <vector>

namespace snipespar::limits {

namespace {

constexpr time_point start{std::chrono::seconds(50)};

struct bucket_step {
    int kind = 0;
    micro_tokens amount = 0;
    std::int64_t time_us = 0;
};

std::ostream& operator<<(std::ostream& os, const bucket_step& step)
{
    return os << '{' << step.kind << ", " << step.amount << ", " << step.time_us << '}';
}

rc::Gen<bucket_step> any_step()
{
    return rc::gen::build<bucket_step>(
        rc::gen::set(&bucket_step::kind, rc::gen::inRange(0, 4)),
        rc::gen::set(&bucket_step::amount, rc::gen::inRange<micro_tokens>(0, 3'000'000)),
        rc::gen::set(&bucket_step::time_us, rc::gen::inRange<std::int64_t>(-1000, 900'000)));
}

token_bucket make_bucket(micro_tokens rate, micro_tokens capacity)
{
    token_bucket bucket(limit_form::rate, start);
    bucket.set_rate(start, rate);
    bucket.set_capacity(start, capacity);
    bucket.add_level(start, capacity);
    return bucket;
}

} // namespace

class limits_token_bucket_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(limits_token_bucket_test);
    CPPUNIT_TEST(held_tokens_occupy_capacity);
    CPPUNIT_TEST(deliveries_never_exceed_rate_and_capacity);
    CPPUNIT_TEST(slow_refill_loses_nothing_to_rounding);
    CPPUNIT_TEST(backward_and_large_clock_steps_are_tolerated);
    CPPUNIT_TEST(slices_add_up);
    CPPUNIT_TEST_SUITE_END();

public:
    // If held tokens did not limit the refill, both bursts could be delivered in the same instant.
    void held_tokens_occupy_capacity()
    {
        auto bucket = make_bucket(1'000'000, 5'000'000);
        CPPUNIT_ASSERT(bucket.reserve(start, 5'000'000));
        const auto later = start + std::chrono::seconds(60);
        CPPUNIT_ASSERT(!bucket.reserve(later, 1));
        bucket.deliver(later, 2'000'000);
        CPPUNIT_ASSERT(bucket.reserve(later + std::chrono::seconds(60), 2'000'000));
        CPPUNIT_ASSERT(!bucket.reserve(later + std::chrono::seconds(120), 1));
    }

    void deliveries_never_exceed_rate_and_capacity()
    {
        const auto property = [] {
            const auto steps = *rc::gen::container<std::vector<bucket_step>>(any_step());
            const micro_tokens rate = *rc::gen::inRange<micro_tokens>(1, 5'000'000);
            auto bucket = make_bucket(rate, 4'000'000);
            limit_oracle oracle({limit_id("l"), limit_form::rate, rate, 4'000'000});
            time_point now = start;
            time_point latest = start;
            for (const auto& step : steps) {
                now += duration(step.time_us);
                latest = std::max(latest, now);
                const auto part = std::min(step.amount, bucket.held());
                if (step.kind <= 1) {
                    bucket.reserve(now, step.amount);
                }
                else if (step.kind == 2) {
                    bucket.release(now, part);
                }
                else {
                    bucket.deliver(now, part);
                    oracle.deliver(latest, part);
                }
                RC_ASSERT(oracle.excess() <= 0);
                RC_ASSERT(bucket.level() + bucket.held() <= bucket.capacity());
            }
        };
        CPPUNIT_ASSERT(seeded_check("bucket bounds deliveries", 1, 2000, property));
    }

    void slow_refill_loses_nothing_to_rounding()
    {
        auto bucket = make_bucket(866'667, 10'000'000);
        CPPUNIT_ASSERT(bucket.reserve(start, 10'000'000));
        bucket.deliver(start, 10'000'000);
        for (int us = 1; us <= 3'000'000; ++us) {
            bucket.refill(start + duration(us));
        }
        CPPUNIT_ASSERT_EQUAL(micro_tokens{2'600'001}, bucket.level());
    }

    void backward_and_large_clock_steps_are_tolerated()
    {
        auto bucket = make_bucket(max_amount, max_amount);
        CPPUNIT_ASSERT(bucket.reserve(start, max_amount));
        bucket.deliver(start, max_amount);
        bucket.refill(start - std::chrono::hours(1));
        CPPUNIT_ASSERT_EQUAL(micro_tokens{0}, bucket.level());
        bucket.refill(start + std::chrono::hours(24 * 365));
        CPPUNIT_ASSERT_EQUAL(max_amount, bucket.level());
    }

    void slices_add_up()
    {
        for (const micro_tokens total : {micro_tokens{1}, micro_tokens{2'000'000}, max_amount}) {
            micro_tokens sum = 0;
            for (std::size_t slot = 0; slot < slot_count; ++slot) {
                sum += slice(total, slot);
            }
            CPPUNIT_ASSERT_EQUAL(total, sum);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limits_token_bucket_test);

} // namespace snipespar::limits
