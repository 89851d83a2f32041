#include "platform/watch_plan.h"

#include <algorithm>
#include <chrono>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <map>
#include <optional>
#include <random>

namespace snipespar::platform {

namespace {

using std::chrono::milliseconds;

constexpr auto step = milliseconds(10);
constexpr auto patience = milliseconds(300);
constexpr watch_timing usual_timing{.poll_wait = std::chrono::seconds(25)};

time_point at(int ms)
{
    return time_point() + milliseconds(ms);
}

/// A store whose responses take time, and may be lost, behind a watch in virtual time.
class slow_store {
public:
    struct settings {
        /// From the first to the last byte of a response that holds a version.
        duration transfer{};
        duration poll_wait = std::chrono::seconds(25);
        double lost_responses = 0;
        double failed_reads = 0;
        bool drops_history = false;
    };

    slow_store(settings values, std::uint64_t seed)
        : settings_(values), random_(seed), plan_({.poll_wait = values.poll_wait}, seed)
    {
    }

    void write(std::uint64_t version) { version_ = version; }
    std::uint64_t version() const { return version_; }
    std::uint64_t used() const { return used_; }
    int versions_sent() const { return versions_sent_; }
    watch_plan& plan() { return plan_; }

    void run_until(time_point end)
    {
        for (; now_ < end; now_ += step) {
            if (const auto due = plan_.next(now_)) {
                begin(*due);
            }
            const auto active = responses_;
            for (const auto& [number, ignored] : active) {
                advance(number);
            }
        }
    }

    time_point now() const { return now_; }

private:
    struct response {
        planned_read read;
        time_point sent_at;
        /// Of the first byte.
        std::optional<time_point> begins_at;
        std::uint64_t revision = 0;
        bool is_lost = false;
        bool fails = false;
    };

    bool happens(double probability) { return std::bernoulli_distribution(probability)(random_); }

    void begin(const planned_read& due)
    {
        response next{
            due, now_, {}, 0, happens(settings_.lost_responses), happens(settings_.failed_reads)};
        responses_[due.number] = next;
    }

    void advance(std::uint64_t number)
    {
        auto& active = responses_.at(number);
        if (active.is_lost || active.fails) {
            if (active.fails || now_ - active.sent_at >= active.read.answer_within) {
                plan_.on_failed(number, read_failure::unavailable, now_);
                responses_.erase(number);
            }
            return;
        }
        const bool has_news =
            active.read.kind == read_kind::list || version_ > active.read.revision;
        const bool is_over = now_ - active.sent_at >= active.read.wait;
        if (!active.begins_at && (has_news || is_over)) {
            active.begins_at = now_;
            active.revision = version_;
            versions_sent_ += has_news ? 1 : 0;
        }
        if (!active.begins_at) {
            return;
        }
        if (!plan_.on_bytes(number)) {
            responses_.erase(number);
            return;
        }
        const auto lasts =
            active.revision > active.read.revision || active.read.kind == read_kind::list
                ? settings_.transfer
                : duration{};
        if (now_ - *active.begins_at < lasts) {
            return;
        }
        if (settings_.drops_history && active.read.kind != read_kind::list && happens(0.2)) {
            plan_.on_failed(number, read_failure::history_lost, now_);
        }
        else {
            CPPUNIT_ASSERT_MESSAGE("an older version replaces a newer one",
                                   active.revision >= used_);
            used_ = active.revision;
            plan_.on_used(number, active.revision, now_);
        }
        responses_.erase(number);
    }

    settings settings_;
    std::mt19937_64 random_;
    watch_plan plan_;
    time_point now_;
    std::uint64_t version_ = 1;
    std::uint64_t used_ = 0;
    int versions_sent_ = 0;
    std::map<std::uint64_t, response> responses_;
};

} // namespace

/// Decisions of a watch of the store, in virtual time.
class platform_watch_plan_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_watch_plan_test);
    CPPUNIT_TEST(news_of_a_version_under_way_do_not_void_its_transfer);
    CPPUNIT_TEST(poll_that_the_store_has_lost_is_replaced);
    CPPUNIT_TEST(poll_is_replaced_at_once_without_patience);
    CPPUNIT_TEST(pause_after_a_failure_is_kept);
    CPPUNIT_TEST(restored_store_is_listed_once);
    CPPUNIT_TEST(incomplete_list_is_followed_by_polls_and_lists);
    CPPUNIT_TEST(latest_version_is_used_within_two_transfers_of_the_news);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against watches that never follow while their news come faster than a transfer ends.
    void news_of_a_version_under_way_do_not_void_its_transfer()
    {
        slow_store store({.transfer = milliseconds(3500)}, 1);
        store.run_until(at(4000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, store.used());
        store.write(2);
        while (store.now() < at(8000)) {
            store.run_until(store.now() + milliseconds(250));
            if (store.used() < store.version()) {
                store.plan().read_again(patience, store.now());
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, store.used());
        CPPUNIT_ASSERT_EQUAL(2, store.versions_sent());
    }

    // Guards against a store that has lost a poll: it would be answered half a minute later.
    void poll_that_the_store_has_lost_is_replaced()
    {
        watch_plan plan(usual_timing, 1);
        const auto list = plan.next(at(0));
        plan.on_used(list->number, 7, at(10));
        const auto poll = plan.next(at(10));
        CPPUNIT_ASSERT(poll->kind == read_kind::poll);
        plan.read_again(patience, at(1000));
        CPPUNIT_ASSERT(plan.next_at() == at(1300));
        CPPUNIT_ASSERT(!plan.next(at(1299)));
        const auto replacement = plan.next(at(1300));
        CPPUNIT_ASSERT(replacement == (planned_read{3, read_kind::catch_up, read_cause::wish, 7,
                                                    duration{}, milliseconds(1500)}));
        CPPUNIT_ASSERT(!plan.on_bytes(poll->number));
        // It ends by itself, however often a wish is repeated.
        plan.read_again(patience, at(1400));
        CPPUNIT_ASSERT(!plan.next(at(5000)));
        CPPUNIT_ASSERT(plan.on_bytes(replacement->number));
    }

    void poll_is_replaced_at_once_without_patience()
    {
        watch_plan plan({usual_timing.poll_wait, std::chrono::seconds(1)}, 1);
        plan.on_used(plan.next(at(0))->number, 7, at(10));
        CPPUNIT_ASSERT(!plan.next(at(500)));
        // In the pause between two polls.
        plan.read_again({}, at(500));
        const auto first = plan.next(at(500));
        CPPUNIT_ASSERT(first->kind == read_kind::catch_up);
        // What is under way began before this wish: another read follows without a pause.
        plan.read_again({}, at(510));
        CPPUNIT_ASSERT(!plan.next(at(510)));
        plan.on_used(first->number, 7, at(520));
        const auto second = plan.next(at(520));
        CPPUNIT_ASSERT(second->kind == read_kind::catch_up);
        plan.on_used(second->number, 8, at(530));
        const auto poll = plan.next(at(1530));
        CPPUNIT_ASSERT(poll->kind == read_kind::poll);
        plan.read_again({}, at(2000));
        CPPUNIT_ASSERT(plan.next(at(2000))->kind == read_kind::catch_up);
    }

    void pause_after_a_failure_is_kept()
    {
        watch_plan plan(usual_timing, 1);
        const auto list = plan.next(at(0));
        plan.on_failed(list->number, read_failure::unavailable, at(10));
        plan.read_again({}, at(11));
        CPPUNIT_ASSERT(!plan.next(at(11)));
        CPPUNIT_ASSERT(plan.next(*plan.next_at())->kind == read_kind::list);
    }

    void restored_store_is_listed_once()
    {
        watch_plan plan(usual_timing, 1);
        CPPUNIT_ASSERT(plan.on_era(3) == watch_position::era_change::none);
        plan.on_used(plan.next(at(0))->number, 7, at(10));
        const auto poll = plan.next(at(10));
        plan.list_again(4, at(20));
        CPPUNIT_ASSERT(!plan.is_current(poll->number));
        const auto list = plan.next(at(20));
        CPPUNIT_ASSERT(list->kind == read_kind::list && list->cause == read_cause::restored);
        CPPUNIT_ASSERT(plan.on_era(4) == watch_position::era_change::restored);
        plan.on_failed(list->number, read_failure::restored, at(30));
        const auto again = plan.next(at(30));
        CPPUNIT_ASSERT(again->kind == read_kind::list);
        plan.on_used(again->number, 5, at(40));
        // Another watch tells of the same era.
        plan.list_again(4, at(50));
        CPPUNIT_ASSERT(plan.next(at(50))->kind == read_kind::poll);
    }

    // Guards against a watch that asks for a list without a pause, or follows nothing, because the
    // list cannot be read to its end.
    void incomplete_list_is_followed_by_polls_and_lists()
    {
        // Polls that last until the next list is due, however long its pause.
        constexpr watch_timing long_polls{.poll_wait = std::chrono::seconds(30)};
        watch_plan plan(long_polls, 1);
        auto now = at(0);
        int lists = 0;
        int polls = 0;
        std::uint64_t revision = 7;
        while (now < at(120'000)) {
            const auto due = plan.next(now);
            CPPUNIT_ASSERT(due);
            if (due->kind == read_kind::list) {
                ++lists;
                CPPUNIT_ASSERT(lists == 1 || due->cause == read_cause::incomplete);
                plan.on_used_in_part(due->number, ++revision, now);
            }
            else {
                ++polls;
                CPPUNIT_ASSERT(due->kind == read_kind::poll);
                CPPUNIT_ASSERT_EQUAL(revision, due->revision);
                CPPUNIT_ASSERT(due->wait > duration{});
                now += due->wait;
                plan.on_used(due->number, revision, now);
            }
        }
        CPPUNIT_ASSERT_EQUAL(lists, polls);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} lists", lists), lists >= 5 && lists <= 20);
        // A failure does not end the series, a whole list does.
        const auto failed = plan.next(now);
        CPPUNIT_ASSERT(failed->kind == read_kind::list);
        plan.on_failed(failed->number, read_failure::unavailable, now);
        now += std::chrono::seconds(1);
        const auto again = plan.next(now);
        CPPUNIT_ASSERT(again->kind == read_kind::list);
        plan.on_used(again->number, 9, now);
        const auto poll = plan.next(now);
        CPPUNIT_ASSERT(poll->kind == read_kind::poll);
        CPPUNIT_ASSERT(poll->wait == long_polls.poll_wait);
    }

    // Guards against a version that is never used, over slow links, lost polls, failures, dropped
    // histories, versions in quick succession and news at any time.
    void latest_version_is_used_within_two_transfers_of_the_news()
    {
        constexpr int seeds = 200;
        for (int seed = 1; seed <= seeds; ++seed) {
            std::mt19937_64 random(static_cast<std::uint64_t>(seed));
            const auto between = [&](int low, int high) {
                return std::uniform_int_distribution(low, high)(random);
            };
            slow_store::settings settings;
            settings.transfer = milliseconds(between(0, 4000));
            settings.lost_responses = seed % 3 == 0 ? 0.2 : 0;
            settings.failed_reads = seed % 4 == 0 ? 0.2 : 0;
            settings.drops_history = seed % 5 == 0;
            slow_store store(settings, static_cast<std::uint64_t>(seed));
            const auto tell = [&](time_point end) {
                while (store.now() < end) {
                    store.run_until(store.now() + milliseconds(between(20, 1000)));
                    if (store.used() < store.version()) {
                        store.plan().read_again(between(0, 3) == 0 ? duration{} : patience,
                                                store.now());
                    }
                }
            };
            tell(at(10'000));
            for (std::uint64_t version = 2; version < 8; ++version) {
                store.write(version);
                tell(store.now() + milliseconds(between(0, 3000)));
            }
            // The transfer under way and one after it; a lost response costs its time-out, a
            // dropped history or a failure another read.
            const bool is_sound = settings.lost_responses == 0 && settings.failed_reads == 0 &&
                                  !settings.drops_history;
            const auto bound = is_sound ? 2 * settings.transfer + milliseconds(1500)
                                        : 10 * settings.transfer + std::chrono::seconds(30);
            tell(store.now() + bound);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("seed {}", seed), store.version(),
                                         store.used());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_watch_plan_test);

} // namespace snipespar::platform
