#include "gateway/event_splitter.h"

#include "support/seeded_check.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace snipespar::gateway {

class gateway_event_splitter_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_event_splitter_test);
    CPPUNIT_TEST(whole_events_come_out_unchanged);
    CPPUNIT_TEST(part_of_an_event_is_kept);
    CPPUNIT_TEST(event_without_an_end_is_noticed);
    CPPUNIT_TEST(any_cut_gives_the_same_events);
    CPPUNIT_TEST(number_is_read_behind_other_lines);
    CPPUNIT_TEST_SUITE_END();

public:
    void whole_events_come_out_unchanged()
    {
        event_splitter splitter;
        const auto events = splitter.feed("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.size());
        CPPUNIT_ASSERT(events[0].number == 1U);
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), events[0].bytes);
        CPPUNIT_ASSERT(events[1].number == 2U);
        CPPUNIT_ASSERT(!splitter.has_partial());
    }

    void part_of_an_event_is_kept()
    {
        event_splitter splitter;
        CPPUNIT_ASSERT(splitter.feed("id: 7\ndata: a\n").empty());
        CPPUNIT_ASSERT(splitter.has_partial());
        CPPUNIT_ASSERT(splitter.feed("\n").front().number == 7U);
        CPPUNIT_ASSERT(!splitter.has_partial());
    }

    // Guards against an event without a bound.
    void event_without_an_end_is_noticed()
    {
        event_splitter splitter;
        const std::string block(64UL * 1024, 'x');
        CPPUNIT_ASSERT(splitter.feed("id: 1\ndata: ").empty());
        for (int i = 0; i < 16; ++i) {
            CPPUNIT_ASSERT(!splitter.is_too_large());
            CPPUNIT_ASSERT(splitter.feed(block).empty());
        }
        CPPUNIT_ASSERT(splitter.is_too_large());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, splitter.feed("\n\n").size());
        CPPUNIT_ASSERT(!splitter.is_too_large());
    }

    // Each event is returned once and complete, however the upstream's writes are split.
    void any_cut_gives_the_same_events()
    {
        const std::string text = "id: 1\ndata: a\n\nweight: 2\nid: 2\ndata: bc\n\nid: 3\n\n";
        const auto property = [&] {
            const auto cuts =
                *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 9));
            event_splitter splitter;
            std::string joined;
            std::vector<std::uint64_t> numbers;
            std::size_t start = 0;
            std::size_t next = 0;
            while (start < text.size()) {
                const auto size = cuts.empty() ? text.size() : cuts[next++ % cuts.size()];
                for (const auto& event : splitter.feed(text.substr(start, size))) {
                    joined += event.bytes;
                    numbers.push_back(*event.number);
                }
                start += size;
            }
            RC_ASSERT(joined == text);
            RC_ASSERT(numbers == (std::vector<std::uint64_t>{1, 2, 3}));
        };
        CPPUNIT_ASSERT(seeded_check("any_cut_gives_the_same_events", 11, 300, property));
    }

    void number_is_read_behind_other_lines()
    {
        event_splitter splitter;
        const auto events = splitter.feed("weight-versions: 3\nid:12\ndata: id: 9\n\n");
        CPPUNIT_ASSERT(events.front().number == 12U);
        CPPUNIT_ASSERT(!splitter.feed("data: x\n\n").front().number.has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_event_splitter_test);

} // namespace snipespar::gateway
