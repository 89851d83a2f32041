#include "store/retrying_store.h"

#include "../tools/platform_stand_in/object_table.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <vector>

namespace snipespar::store {

namespace {

namespace asio = boost::asio;

// An in-memory store; the faults of each call are set before it.
struct scripted_store {
    asio::awaitable<object_reply> perform(request call)
    {
        before_call(++calls);
        co_return table.perform(call);
    }

    stand_in::object_table table;
    std::function<void(int)> before_call = [](int) {};
    int calls = 0;
};

} // namespace

class store_retrying_store_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_retrying_store_test);
    CPPUNIT_TEST(own_write_with_a_lost_response_is_a_success);
    CPPUNIT_TEST(foreign_write_after_a_lost_response_is_a_conflict);
    CPPUNIT_TEST(write_succeeds_although_every_response_is_lost);
    CPPUNIT_TEST(plain_conflict_is_not_repeated);
    CPPUNIT_TEST(own_erase_with_a_lost_response_is_a_success);
    CPPUNIT_TEST(outage_ends_in_unavailable_with_growing_waits);
    CPPUNIT_TEST(unknown_effect_of_a_write_is_never_reported_as_none);
    CPPUNIT_TEST_SUITE_END();

    static void set(scripted_store& store, bool outage, bool drop)
    {
        stand_in::platform_faults faults;
        faults.outage = outage;
        faults.drop_answers = drop;
        store.table.set_faults(faults);
    }

    object_reply run(scripted_store& store, request call)
    {
        asio::io_context context(1);
        const auto sleep = [this](duration wait) -> asio::awaitable<void> {
            waits_.push_back(wait);
            co_return;
        };
        retrying_store retrying(store, sleep, {.seed = 1});
        object_reply reply;
        asio::co_spawn(
            context, [&]() -> asio::awaitable<void> { reply = co_await retrying.perform(call); },
            asio::detached);
        context.run();
        return reply;
    }

    std::vector<duration> waits_;

public:
    void own_write_with_a_lost_response_is_a_success()
    {
        scripted_store store;
        store.before_call = [&](int call) { set(store, false, call == 1); };
        const auto reply = run(store, put_object{"a", "mine", 0});
        CPPUNIT_ASSERT(reply.status.ok());
        CPPUNIT_ASSERT_EQUAL(revision{1}, reply.objects.front().revision);
    }

    void foreign_write_after_a_lost_response_is_a_conflict()
    {
        scripted_store store;
        store.before_call = [&](int call) {
            set(store, call == 2, call == 1);
            if (call == 3) {
                store.table.objects()["a"] = {"a", "theirs", 9};
            }
        };
        CPPUNIT_ASSERT(absl::IsAborted(run(store, put_object{"a", "mine", 0}).status));
    }

    void write_succeeds_although_every_response_is_lost()
    {
        scripted_store store;
        set(store, false, true);
        CPPUNIT_ASSERT(run(store, put_object{"a", "mine", {}}).status.ok());
        CPPUNIT_ASSERT_EQUAL(2, store.calls);
    }

    void plain_conflict_is_not_repeated()
    {
        scripted_store store;
        store.table.objects()["a"] = {"a", "mine", 9};
        CPPUNIT_ASSERT(absl::IsAborted(run(store, put_object{"a", "mine", 0}).status));
        CPPUNIT_ASSERT_EQUAL(1, store.calls);
    }

    void own_erase_with_a_lost_response_is_a_success()
    {
        scripted_store store;
        store.table.objects()["a"] = {"a", "x", 9};
        store.before_call = [&](int call) { set(store, false, call == 1); };
        CPPUNIT_ASSERT(run(store, erase_object{"a", 9}).status.ok());
    }

    void outage_ends_in_unavailable_with_growing_waits()
    {
        scripted_store store;
        set(store, true, false);
        CPPUNIT_ASSERT(absl::IsUnavailable(run(store, get_object{"a"}).status));
        CPPUNIT_ASSERT(waits_.size() >= 3);
        CPPUNIT_ASSERT(waits_.back() > waits_.front());
    }

    void unknown_effect_of_a_write_is_never_reported_as_none()
    {
        scripted_store store;
        store.before_call = [&](int call) { set(store, call > 1, call == 1); };
        CPPUNIT_ASSERT(absl::IsUnknown(run(store, put_object{"a", "mine", 0}).status));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_retrying_store_test);

} // namespace snipespar::store
