#include "sidecar/prompt_pacer.h"

#include <algorithm>
#include <cmath>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <map>
#include <random>
#include <vector>

namespace snipespar::sidecar {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using verdict = control::admission_answer::verdict;

constexpr time_point start{seconds(50)};
constexpr auto target = milliseconds(300);
constexpr std::uint64_t prompt = 1460;
constexpr int urgency = 3;

// One call fewer in each window is carried without a pause; with `calls` streams pause.
prompt_pacer make_pacing(int calls)
{
    prompt_pacer pacer;
    for (auto now = start - seconds(8); now < start; now += 2 * target) {
        const bool is_burst = now >= start - seconds(2);
        for (int i = is_burst ? 0 : 1; i < calls; ++i) {
            pacer.on_sent(prompt, now);
        }
        if (is_burst) {
            pacer.on_pause(milliseconds(365), target, now + milliseconds(370));
        }
    }
    return pacer;
}

admission_decision ask(prompt_pacer& pacer, std::uint64_t call, time_point now,
                       int urgency_level = urgency, duration max_wait = seconds(1))
{
    return pacer.ask({"g", call}, prompt, urgency_level, {max_wait, max_wait}, now);
}

/// An engine that reads prompts in chunks between the tokens of its streams: each step makes one
/// token for every stream and reads up to one chunk. Streams send an event every few steps.
class chunked_engine {
public:
    static constexpr double tokens_per_ms = 19.1;
    static constexpr double step_ms = 13;
    static constexpr double chunk = 2048;
    static constexpr int steps_per_event = 3;

    void add(double tokens) { prompt_tokens_ += tokens; }

    // Runs one step; returns its length.
    duration step()
    {
        const double read = std::min(prompt_tokens_, chunk);
        prompt_tokens_ -= read;
        const double ms = step_ms + read / tokens_per_ms;
        steps_.push_back(ms);
        if (steps_.size() > steps_per_event) {
            steps_.pop_front();
        }
        return duration(static_cast<duration::rep>(ms * 1000));
    }

    // Time between two events of a stream that sends one now.
    duration event_gap() const
    {
        double ms = 0;
        for (const auto step : steps_) {
            ms += step;
        }
        return duration(static_cast<duration::rep>(ms * 1000));
    }

private:
    double prompt_tokens_ = 0;
    std::deque<double> steps_;
};

struct day_result {
    int windows = 0;
    int paused = 0;
    int calls = 0;
    int refused = 0;
    std::vector<duration> waits;
};

// A burst: calls arrive at random at a mean rate that the engine can carry.
day_result play(bool is_paced, double calls_per_s, int length_s)
{
    std::mt19937_64 random(11);
    std::exponential_distribution<double> pause(calls_per_s);
    prompt_pacer pacer;
    chunked_engine engine;
    day_result day;
    std::map<std::uint64_t, time_point> asked;
    auto next_arrival = start;
    std::uint64_t call = 0;
    const auto end = start + seconds(length_s);
    for (auto now = start; now < end; now += engine.step()) {
        for (; next_arrival <= now;
             next_arrival += duration(static_cast<duration::rep>(pause(random) * 1e6))) {
            ++day.calls;
            if (!is_paced) {
                engine.add(prompt);
                continue;
            }
            const auto answer = ask(pacer, ++call, now);
            if (answer.verdict == verdict::granted) {
                engine.add(prompt);
                day.waits.emplace_back(0);
            }
            else if (answer.verdict == verdict::queued) {
                asked[call] = now;
            }
            else {
                ++day.refused;
            }
        }
        for (const auto& decision : pacer.decide(now)) {
            if (decision.verdict == verdict::granted) {
                engine.add(prompt);
                day.waits.push_back(now - asked[decision.ticket.call]);
            }
            else {
                ++day.refused;
            }
        }
        const auto gap = engine.event_gap();
        ++day.windows;
        if (gap > target) {
            ++day.paused;
            pacer.on_pause(gap, target, now);
        }
    }
    std::sort(day.waits.begin(), day.waits.end());
    return day;
}

} // namespace

class sidecar_prompt_pacer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sidecar_prompt_pacer_test);
    CPPUNIT_TEST(nothing_is_limited_without_pauses);
    CPPUNIT_TEST(single_or_very_long_pauses_set_no_limit);
    CPPUNIT_TEST(pause_at_an_ordinary_load_sets_no_limit);
    CPPUNIT_TEST(calls_beyond_the_limit_wait_for_the_next_window);
    CPPUNIT_TEST(urgent_calls_go_first);
    CPPUNIT_TEST(call_that_is_late_anyway_lets_others_begin_in_time);
    CPPUNIT_TEST(call_that_cannot_be_sent_in_time_is_refused_at_once);
    CPPUNIT_TEST(repeated_question_is_charged_once);
    CPPUNIT_TEST(cancelled_call_leaves_its_place);
    CPPUNIT_TEST(call_larger_than_the_limit_is_given_alone);
    CPPUNIT_TEST(prompts_are_not_held_while_the_engine_could_read_them);
    CPPUNIT_TEST(short_streams_leave_more_time_for_prompts);
    CPPUNIT_TEST(limit_falls_when_streams_become_longer);
    CPPUNIT_TEST(unused_limit_expires);
    CPPUNIT_TEST(burst_of_prompts_leaves_streams_their_pace);
    CPPUNIT_TEST_SUITE_END();

public:
    void nothing_is_limited_without_pauses()
    {
        prompt_pacer pacer;
        for (std::uint64_t i = 0; i < 100; ++i) {
            CPPUNIT_ASSERT(ask(pacer, i, start).verdict == verdict::granted);
        }
        CPPUNIT_ASSERT(!pacer.is_pacing());
        CPPUNIT_ASSERT(!pacer.next_decision_at(start));
    }

    void single_or_very_long_pauses_set_no_limit()
    {
        prompt_pacer pacer;
        pacer.on_sent(prompt, start);
        pacer.on_pause(milliseconds(365), target, start);
        pacer.on_pause(milliseconds(365), target, start + milliseconds(5));
        pacer.on_pause(milliseconds(365), target, start + seconds(5));
        CPPUNIT_ASSERT(!pacer.is_pacing());
        // The gateway or the engine's host was frozen.
        for (int i = 0; i < 10; ++i) {
            pacer.on_pause(seconds(2), target, start + seconds(5) + i * target);
        }
        CPPUNIT_ASSERT(!pacer.is_pacing());
    }

    // Something else than prompts holds the engine up, such as a slow host.
    void pause_at_an_ordinary_load_sets_no_limit()
    {
        prompt_pacer pacer;
        for (auto now = start; now < start + seconds(8); now += target) {
            for (int i = 0; i < 4; ++i) {
                pacer.on_sent(prompt, now);
            }
            if (now > start + seconds(4)) {
                pacer.on_pause(milliseconds(365), target, now + milliseconds(10));
            }
        }
        CPPUNIT_ASSERT(!pacer.is_pacing());
    }

    void calls_beyond_the_limit_wait_for_the_next_window()
    {
        auto pacer = make_pacing(4);
        CPPUNIT_ASSERT(pacer.is_pacing());
        const auto now = start + seconds(1);
        std::uint64_t call = 0;
        while (ask(pacer, ++call, now).verdict == verdict::granted) {
        }
        CPPUNIT_ASSERT(call == 3 || call == 4);
        CPPUNIT_ASSERT_EQUAL(1, pacer.waiting());
        CPPUNIT_ASSERT(pacer.decide(now + target - milliseconds(1)).empty());
        CPPUNIT_ASSERT(*pacer.next_decision_at(now) == now + target);
        const auto decisions = pacer.decide(now + target);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
        CPPUNIT_ASSERT(decisions[0].verdict == verdict::granted);
        CPPUNIT_ASSERT_EQUAL(call, decisions[0].ticket.call);
    }

    void urgent_calls_go_first()
    {
        auto pacer = make_pacing(4);
        const auto now = start + seconds(1);
        std::uint64_t call = 0;
        while (ask(pacer, ++call, now).verdict == verdict::granted) {
        }
        ask(pacer, 100, now, urgency + 1);
        ask(pacer, 101, now, urgency - 1);
        const auto decisions = pacer.decide(now + target);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{101}, decisions.at(0).ticket.call);
        CPPUNIT_ASSERT_EQUAL(call, decisions.at(1).ticket.call);
    }

    void call_that_is_late_anyway_lets_others_begin_in_time()
    {
        auto pacer = make_pacing(4);
        const auto now = start + seconds(1);
        std::uint64_t call = 0;
        while (ask(pacer, ++call, now).verdict == verdict::granted) {
        }
        pacer.cancel({"g", call});
        pacer.ask({"g", 100}, prompt, urgency, {milliseconds(100), seconds(1)}, now);
        pacer.ask({"g", 101}, prompt, urgency, {milliseconds(900), seconds(1)}, now);
        const auto decisions = pacer.decide(now + target);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{101}, decisions.at(0).ticket.call);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, decisions.at(1).ticket.call);
    }

    void call_that_cannot_be_sent_in_time_is_refused_at_once()
    {
        auto pacer = make_pacing(4);
        const auto now = start + seconds(1);
        std::uint64_t call = 0;
        admission_decision last;
        do {
            last = ask(pacer, ++call, now);
        } while (last.verdict != verdict::refused && call < 100);
        CPPUNIT_ASSERT(last.verdict == verdict::refused);
        CPPUNIT_ASSERT(last.wait > duration{});
        // About one second of calls waits; the expectation holds within one window.
        CPPUNIT_ASSERT(call >= 9 && call <= 18);
        for (auto later = now; later < now + seconds(1) + target; later += milliseconds(10)) {
            for (const auto& decision : pacer.decide(later)) {
                CPPUNIT_ASSERT(decision.verdict == verdict::granted || later >= now + seconds(1));
            }
        }
        CPPUNIT_ASSERT_EQUAL(0, pacer.waiting());
    }

    void repeated_question_is_charged_once()
    {
        auto pacer = make_pacing(4);
        const auto now = start + seconds(1);
        for (int i = 0; i < 10; ++i) {
            CPPUNIT_ASSERT(ask(pacer, 1, now).verdict == verdict::granted);
        }
        CPPUNIT_ASSERT(ask(pacer, 2, now).verdict == verdict::granted);
        std::uint64_t call = 2;
        while (ask(pacer, ++call, now).verdict == verdict::granted) {
        }
        CPPUNIT_ASSERT(ask(pacer, call, now).verdict == verdict::queued);
        CPPUNIT_ASSERT_EQUAL(1, pacer.waiting());
    }

    void cancelled_call_leaves_its_place()
    {
        auto pacer = make_pacing(4);
        const auto now = start + seconds(1);
        std::uint64_t call = 0;
        while (ask(pacer, ++call, now).verdict == verdict::granted) {
        }
        pacer.cancel({"g", call});
        pacer.cancel({"g", 77});
        CPPUNIT_ASSERT_EQUAL(0, pacer.waiting());
        CPPUNIT_ASSERT(pacer.decide(now + target).empty());
    }

    void call_larger_than_the_limit_is_given_alone()
    {
        auto pacer = make_pacing(4);
        const auto now = start + seconds(1);
        constexpr std::uint64_t large = 90'000;
        CPPUNIT_ASSERT(pacer.ask({"g", 1}, large, urgency, {seconds(1), seconds(1)}, now).verdict ==
                       verdict::granted);
        CPPUNIT_ASSERT(ask(pacer, 2, now + milliseconds(1)).verdict != verdict::granted);
        CPPUNIT_ASSERT(ask(pacer, 3, now + target).verdict != verdict::refused);
    }

    // Guards against prompts that are held while the engine has nothing to read: a limit learned
    // from little load at the start of a day.
    void prompts_are_not_held_while_the_engine_could_read_them()
    {
        auto pacer = make_pacing(4);
        // So fast that what was learned is far less than the engine can read.
        constexpr double speed = 2 * chunked_engine::tokens_per_ms;
        pacer.on_read_speed(speed);
        const auto now = start + seconds(1);
        pacer.decide(now);
        std::uint64_t given = 0;
        for (std::uint64_t call = 1; ask(pacer, call, now).verdict == verdict::granted; ++call) {
            given += prompt;
        }
        const double readable = speed * static_cast<double>(target.count());
        CPPUNIT_ASSERT(static_cast<double>(given) >= 0.5 * readable - static_cast<double>(prompt));
        CPPUNIT_ASSERT(static_cast<double>(given) <= 0.5 * readable + 1);
    }

    // Half of what an engine can read was held back although its streams were over within about one
    // event's time; streams of many events keep that reserve.
    void short_streams_leave_more_time_for_prompts()
    {
        constexpr double speed = 2 * chunked_engine::tokens_per_ms;
        const auto limit_with = [](duration run_time) {
            auto pacer = make_pacing(4);
            pacer.on_read_speed(speed);
            pacer.on_run_time(run_time);
            pacer.decide(start + seconds(1));
            return *pacer.limit() / (speed * static_cast<double>(target.count()));
        };
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.8, limit_with(target / 2), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.8, limit_with(target), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.53, limit_with(10 * target), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, limit_with({}), 0.01);
    }

    // A moment of short streams let prompts take the larger part for good.
    void limit_falls_when_streams_become_longer()
    {
        constexpr double speed = 2 * chunked_engine::tokens_per_ms;
        auto pacer = make_pacing(4);
        pacer.on_read_speed(speed);
        pacer.on_run_time(target);
        pacer.decide(start + seconds(1));
        pacer.on_run_time(10 * target);
        pacer.decide(start + milliseconds(1100));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            0.53, *pacer.limit() / (speed * static_cast<double>(target.count())), 0.01);
    }

    void unused_limit_expires()
    {
        auto pacer = make_pacing(4);
        CPPUNIT_ASSERT(pacer.decide(start + seconds(15)).empty());
        CPPUNIT_ASSERT(pacer.is_pacing());
        pacer.decide(start + seconds(21));
        CPPUNIT_ASSERT(!pacer.is_pacing());
    }

    // The load of ashpell-rooms' bursts: eight prompts a second on an engine that could read nine,
    // with events every three steps that may be 300 ms apart.
    void burst_of_prompts_leaves_streams_their_pace()
    {
        constexpr double calls_per_s = 8;
        const auto free = play(false, calls_per_s, 40);
        const auto paced = play(true, calls_per_s, 40);
        CPPUNIT_ASSERT(free.paused * 20 > free.windows);
        CPPUNIT_ASSERT(paced.paused * 4 < free.paused);
        // Few calls are refused, and half of them wait for less than one event.
        CPPUNIT_ASSERT(paced.refused * 50 < paced.calls);
        CPPUNIT_ASSERT(paced.waits[paced.waits.size() / 2] < target);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sidecar_prompt_pacer_test);

} // namespace snipespar::sidecar
