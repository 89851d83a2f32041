#include "sidecar/prompt_queue.h"

#include <algorithm>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <random>

namespace snipespar::sidecar {

namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds(50)};
constexpr std::uint64_t process = 1783704749013;
constexpr std::uint64_t short_prompt = 646;
constexpr std::uint64_t long_prompt = 9190;

/// An engine that reads one prompt after the other at a constant speed.
class reading_engine {
public:
    explicit reading_engine(double tokens_per_ms) : tokens_per_ms_(tokens_per_ms) {}

    void add(std::uint64_t tokens) { prompts_.push_back(static_cast<double>(tokens)); }

    void run(milliseconds span)
    {
        double left = tokens_per_ms_ * static_cast<double>(span.count());
        while (!prompts_.empty() && left > 0) {
            const double read = std::min(left, prompts_.front());
            left -= read;
            prompts_.front() -= read;
            if (prompts_.front() <= 0) {
                prompts_.pop_front();
            }
        }
    }

    int waiting() const { return static_cast<int>(prompts_.size()); }

    double unread() const
    {
        double sum = 0;
        for (const double tokens : prompts_) {
            sum += tokens;
        }
        return sum;
    }

private:
    double tokens_per_ms_;
    std::deque<double> prompts_;
};

} // namespace

/// Load: a mix of short prompts and a few that are fourteen times as long, on engines that differ
/// in speed.
class sidecar_prompt_queue_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sidecar_prompt_queue_test);
    CPPUNIT_TEST(speed_and_work_of_a_busy_engine_are_learned);
    CPPUNIT_TEST(idle_engine_has_no_work_and_keeps_its_speed);
    CPPUNIT_TEST(stalled_engine_is_slow_not_unknown);
    CPPUNIT_TEST(restarted_engine_has_no_work);
    CPPUNIT_TEST_SUITE_END();

public:
    void speed_and_work_of_a_busy_engine_are_learned()
    {
        for (const double speed : {24.0, 53.0}) {
            prompt_queue queue;
            reading_engine engine(speed);
            std::mt19937_64 random(7);
            auto now = start;
            for (int step = 0; step < 400; ++step, now += milliseconds(15)) {
                while (engine.unread() < 8000) {
                    const auto tokens = random() % 50 == 0 ? long_prompt : short_prompt;
                    engine.add(tokens);
                    queue.on_given(tokens, now);
                }
                queue.on_report(process, engine.waiting(), now);
                engine.run(milliseconds(15));
            }
            CPPUNIT_ASSERT_DOUBLES_EQUAL(speed, queue.tokens_per_ms(), 0.25 * speed);
            queue.on_report(process, engine.waiting(), now);
            // The prompt that is being read counts whole.
            CPPUNIT_ASSERT(static_cast<double>(queue.waiting_tokens()) >= engine.unread());
            CPPUNIT_ASSERT(static_cast<double>(queue.waiting_tokens()) <=
                           engine.unread() + static_cast<double>(long_prompt));
        }
    }

    void idle_engine_has_no_work_and_keeps_its_speed()
    {
        prompt_queue queue;
        reading_engine engine(40);
        auto now = start;
        for (int i = 0; i < 40; ++i) {
            engine.add(short_prompt);
            queue.on_given(short_prompt, now);
        }
        for (; engine.waiting() > 0; now += milliseconds(15)) {
            queue.on_report(process, engine.waiting(), now);
            engine.run(milliseconds(15));
        }
        queue.on_report(process, 0, now);
        const auto speed = queue.tokens_per_ms();
        CPPUNIT_ASSERT(speed > 0);
        for (int i = 0; i < 100; ++i, now += milliseconds(150)) {
            queue.on_given(short_prompt, now);
            CPPUNIT_ASSERT_EQUAL(short_prompt, queue.waiting_tokens());
            queue.on_report(process, 0, now + milliseconds(50));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, queue.waiting_tokens());
        }
        CPPUNIT_ASSERT_EQUAL(speed, queue.tokens_per_ms());
    }

    // Guards against an engine that stands still being taken for one of the usual speed.
    void stalled_engine_is_slow_not_unknown()
    {
        prompt_queue queue;
        for (int i = 0; i < 4; ++i) {
            queue.on_given(short_prompt, start);
        }
        queue.on_report(process, 4, start);
        queue.on_report(process, 4, start + milliseconds(300));
        CPPUNIT_ASSERT(queue.tokens_per_ms() > 0);
        CPPUNIT_ASSERT(queue.tokens_per_ms() < 1);
    }

    void restarted_engine_has_no_work()
    {
        prompt_queue queue;
        queue.on_given(short_prompt, start);
        queue.on_report(process, 1, start);
        CPPUNIT_ASSERT_EQUAL(short_prompt, queue.waiting_tokens());
        queue.on_report(process + 1, 1, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, queue.waiting_tokens());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sidecar_prompt_queue_test);

} // namespace snipespar::sidecar
