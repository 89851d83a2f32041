#include "platform/list_pages.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstddef>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace snipespar::platform {

namespace {

using state = list_pages::state;

// A page with these names; the objects under `odd` ones cannot be used.
object_page page_of(const std::vector<std::string>& names, bool has_more,
                    const std::set<std::string>& odd = {})
{
    object_page page;
    page.revision = 7;
    page.has_more = has_more;
    page.names = names;
    for (const auto& name : names) {
        if (odd.contains(name)) {
            page.unreadable.push_back({name, "odd"});
        }
        else {
            page.objects.push_back({name, {}, {}, false});
        }
    }
    return page;
}

/// A store that lists its names in pages.
struct paging_store {
    std::vector<std::string> names;
    std::size_t page_size = 2;
    /// Names that it states and does not find again.
    std::set<std::string> unknown = {};

    object_page page_after(const std::string& after) const
    {
        const bool begins_anew = after.empty() || unknown.contains(after);
        std::vector<std::string> page;
        std::size_t left = 0;
        for (const auto& name : names) {
            if (begins_anew || name > after) {
                ++left;
                if (page.size() < page_size) {
                    page.push_back(name);
                }
            }
        }
        return page_of(page, left > page_size, unknown);
    }
};

struct outcome {
    state ended = state::open;
    std::set<std::string> names;
    std::size_t objects = 0;
    std::size_t pages = 0;
};

outcome read(const std::function<object_page(const std::string&)>& page_after,
             std::size_t bytes = 100)
{
    list_pages pages;
    outcome result;
    while (result.ended == state::open) {
        result.ended = pages.add(page_after(pages.after()), bytes);
        ++result.pages;
    }
    for (const auto& object : pages.objects()) {
        result.names.insert(object.name);
    }
    result.objects = pages.objects().size();
    return result;
}

outcome read(const paging_store& store)
{
    return read([&](const std::string& after) { return store.page_after(after); });
}

} // namespace

/// Lists whose pages other writers' objects may keep from leading on.
class platform_list_pages_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_list_pages_test);
    CPPUNIT_TEST(list_goes_on_behind_the_last_name);
    CPPUNIT_TEST(first_revision_counts);
    CPPUNIT_TEST(page_without_a_name_cuts_the_list);
    CPPUNIT_TEST(names_that_cannot_be_asked_for_are_not_cursors);
    CPPUNIT_TEST(repeated_name_leads_on_by_the_one_before_it);
    CPPUNIT_TEST(name_that_the_store_does_not_know_is_passed_by);
    CPPUNIT_TEST(list_that_leads_back_to_itself_is_cut);
    CPPUNIT_TEST(endless_list_is_cut);
    CPPUNIT_TEST(few_of_many_unreadable_objects_are_kept);
    CPPUNIT_TEST_SUITE_END();

public:
    void list_goes_on_behind_the_last_name()
    {
        const std::vector<std::string> names{"a", "a b", "a&b", "a\xff", "b", "c"};
        for (std::size_t size = 1; size <= names.size(); ++size) {
            const auto result = read({.names = names, .page_size = size});
            CPPUNIT_ASSERT(result.ended == state::whole);
            CPPUNIT_ASSERT_EQUAL(names.size(), result.objects);
            CPPUNIT_ASSERT_EQUAL((names.size() + size - 1) / size, result.pages);
        }
        CPPUNIT_ASSERT(read({.names = {}}).ended == state::whole);
    }

    void first_revision_counts()
    {
        list_pages pages;
        CPPUNIT_ASSERT(pages.add(page_of({"a"}, true), 1) == state::open);
        auto last = page_of({"b"}, false);
        last.revision = 9;
        CPPUNIT_ASSERT(pages.add(std::move(last), 1) == state::whole);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, pages.revision());
    }

    // Guards against a list that is never used because of objects that nobody can read.
    void page_without_a_name_cuts_the_list()
    {
        list_pages pages;
        CPPUNIT_ASSERT(pages.add(page_of({"a", "b"}, true), 1) == state::open);
        auto page = page_of({}, true);
        page.unreadable.push_back({"", "no readable name"});
        CPPUNIT_ASSERT(pages.add(std::move(page), 1) == state::cut);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, pages.objects().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pages.unreadable().size());
        CPPUNIT_ASSERT(!pages.reason().empty());
        // The last page needs none.
        list_pages short_list;
        CPPUNIT_ASSERT(short_list.add(page_of({}, false), 1) == state::whole);
    }

    void names_that_cannot_be_asked_for_are_not_cursors()
    {
        list_pages pages;
        const std::string long_name(list_pages::max_cursor_bytes + 1, 'n');
        CPPUNIT_ASSERT(pages.add(page_of({"a", "b", long_name, ""}, true), 1) == state::open);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), pages.after());
    }

    void repeated_name_leads_on_by_the_one_before_it()
    {
        list_pages pages;
        CPPUNIT_ASSERT(pages.add(page_of({"a", "b"}, true), 1) == state::open);
        CPPUNIT_ASSERT(pages.add(page_of({"c", "a"}, true), 1) == state::open);
        CPPUNIT_ASSERT_EQUAL(std::string("c"), pages.after());
        CPPUNIT_ASSERT(pages.add(page_of({"d"}, false), 1) == state::whole);
    }

    // Guards against a list that begins anew for an object that has been removed meanwhile.
    void name_that_the_store_does_not_know_is_passed_by()
    {
        const paging_store store{
            .names = {"a", "b", "b&", "c", "d", "e", "f"}, .page_size = 3, .unknown = {"b&"}};
        const auto result = read(store);
        CPPUNIT_ASSERT(result.ended == state::whole);
        CPPUNIT_ASSERT(result.names == (std::set<std::string>{"a", "b", "c", "d", "e", "f"}));
    }

    void list_that_leads_back_to_itself_is_cut()
    {
        // The only object of its page.
        const paging_store store{.names = {"a", "b", "b&", "c"}, .page_size = 1, .unknown = {"b&"}};
        const auto result = read(store);
        CPPUNIT_ASSERT(result.ended == state::cut);
        CPPUNIT_ASSERT(result.names == (std::set<std::string>{"a", "b"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, result.objects);
        CPPUNIT_ASSERT(result.pages <= 8);
        const auto same =
            read([](const std::string& /*after*/) { return page_of({"a", "b"}, true); });
        CPPUNIT_ASSERT(same.ended == state::cut);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, same.objects);
        CPPUNIT_ASSERT(same.pages <= 8);
    }

    // Guards against a log that other writers fill.
    void few_of_many_unreadable_objects_are_kept()
    {
        list_pages pages;
        for (int number = 0; number < 1000; ++number) {
            const auto name = fmt::format("n{:08}", number);
            CPPUNIT_ASSERT(pages.add(page_of({name}, true, {name}), 100) == state::open);
        }
        CPPUNIT_ASSERT_EQUAL(list_pages::max_unreadable, pages.unreadable().size());
        CPPUNIT_ASSERT_EQUAL(std::string("n00000000"), pages.unreadable().front().name);
    }

    // Guards against a store that keeps a watch reading, and fills its memory.
    void endless_list_is_cut()
    {
        int number = 0;
        const auto endless = [&](const std::string& /*after*/) {
            return page_of({fmt::format("n{:08}", ++number)}, true);
        };
        const auto many = read(endless);
        CPPUNIT_ASSERT(many.ended == state::cut);
        CPPUNIT_ASSERT_EQUAL(list_pages::max_pages, many.pages);
        constexpr std::size_t megabyte = 1024UL * 1024;
        const auto large = read(endless, megabyte);
        CPPUNIT_ASSERT(large.ended == state::cut);
        CPPUNIT_ASSERT_EQUAL(list_pages::max_bytes / megabyte, large.pages);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_list_pages_test);

} // namespace snipespar::platform
