#include "config/publisher.h"

#include "../tools/platform_stand_in/object_table.h"
#include "support/config_samples.h"

#include <algorithm>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace snipespar::config {

namespace {

constexpr std::size_t small_parts = 2000;

class operators {
public:
    explicit operators(std::uint64_t seed) : random_(seed) {}

    stand_in::object_table table;

    publisher& add(publisher::change_function change)
    {
        const auto nonce = "n" + std::to_string(open_.size());
        open_.push_back(
            std::make_unique<publisher>("trial", nonce, std::move(change), small_parts));
        return *open_.back();
    }

    // Advances the open changes in random order until all are done. After each step, the accepted
    // version must be complete.
    void run(bool with_faults)
    {
        while (true) {
            std::vector<publisher*> ready;
            for (const auto& item : open_) {
                if (item->next()) {
                    ready.push_back(item.get());
                }
            }
            if (ready.empty()) {
                return;
            }
            auto& chosen = *ready[random_() % ready.size()];
            stand_in::platform_faults faults;
            faults.drop_answers = with_faults && random_() % 3 == 0;
            faults.stale_list = with_faults && random_() % 2 == 0;
            table.set_faults(faults);
            chosen.on_reply(table.perform(*chosen.next()));
            table.set_faults({});
            check_complete();
        }
    }

    snapshot accepted()
    {
        const auto reply = table.perform(store::get_object{root_key("trial")});
        const auto root = decode_root(reply.objects.front().value);
        part_map parts;
        for (const auto& ref : root->parts) {
            const auto part = table.perform(store::get_object{part_key("trial", ref.sha256)});
            CPPUNIT_ASSERT_MESSAGE("part erased: " + ref.name, part.status.ok());
            parts[ref.sha256] = part.objects.front().value;
        }
        const auto config = assemble(*root, parts);
        CPPUNIT_ASSERT_MESSAGE(std::string(config.status().message()), config.ok());
        return *config;
    }

    std::size_t stored_parts()
    {
        return table.perform(store::list_objects{part_prefix("trial")}).objects.size();
    }

private:
    void check_complete()
    {
        if (table.objects().contains(root_key("trial"))) {
            accepted();
        }
    }

    std::mt19937_64 random_;
    std::vector<std::unique_ptr<publisher>> open_;
};

} // namespace

class config_publisher_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(config_publisher_test);
    CPPUNIT_TEST(racing_key_changes_are_all_kept);
    CPPUNIT_TEST(of_racing_documents_the_later_is_refused);
    CPPUNIT_TEST(lost_response_to_the_root_write_is_no_conflict);
    CPPUNIT_TEST(late_write_and_its_repeat_count_once);
    CPPUNIT_TEST(writer_that_crashes_midway_changes_nothing);
    CPPUNIT_TEST(old_parts_are_erased);
    CPPUNIT_TEST(bad_change_writes_nothing);
    CPPUNIT_TEST(entry_larger_than_a_part_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void racing_key_changes_are_all_kept()
    {
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            operators fleet(seed);
            const auto first = replace_document(sample_snapshot(40));
            fleet.add(first);
            fleet.run(false);
            constexpr std::size_t racers = 6;
            std::vector<publisher*> changes;
            changes.reserve(racers);
            for (std::size_t i = 0; i < racers; ++i) {
                changes.push_back(&fleet.add(issue_key("k" + std::to_string(i))));
            }
            auto& document = fleet.add(replace_document(sample_snapshot(41, seed)));
            fleet.run(true);
            std::size_t kept = 0;
            for (std::size_t i = 0; i < racers; ++i) {
                const auto& result = changes[i]->result();
                const bool is_there =
                    fleet.accepted().keys.contains(key_id("k" + std::to_string(i)));
                CPPUNIT_ASSERT_EQUAL(result.version != 0, is_there);
                kept += is_there ? 1 : 0;
            }
            CPPUNIT_ASSERT(kept > 0);
            if (document.result().version != 0) {
                CPPUNIT_ASSERT_EQUAL(std::size_t{41}, fleet.accepted().adapters.size());
            }
        }
    }

    void of_racing_documents_the_later_is_refused()
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            operators fleet(seed);
            fleet.add(replace_document(sample_snapshot(1)));
            fleet.run(false);
            check_superseded_document(fleet);
            const auto& left = fleet.add(replace_document(sample_snapshot(2)));
            const auto& right = fleet.add(replace_document(sample_snapshot(3)));
            fleet.run(false);
            // Either one finished before the other began to read, or one is rejected.
            const bool both = left.result().version != 0 && right.result().version != 0;
            const auto& loser = left.result().version == 0 ? left : right;
            CPPUNIT_ASSERT(both || !loser.result().problems.empty());
            const std::size_t adapters = left.result().version > right.result().version ? 2 : 3;
            CPPUNIT_ASSERT_EQUAL(adapters, fleet.accepted().adapters.size());
        }
    }

    // Rejects a document whose base version was superseded by another document.
    static void check_superseded_document(operators& fleet)
    {
        auto& slow = fleet.add(replace_document(sample_snapshot(2)));
        while (!std::holds_alternative<store::list_objects>(*slow.next())) {
            slow.on_reply(fleet.table.perform(*slow.next()));
        }
        publisher quick("trial", "quick", replace_document(sample_snapshot(5)), small_parts);
        while (quick.next()) {
            quick.on_reply(fleet.table.perform(*quick.next()));
        }
        fleet.run(false);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, slow.result().version);
        CPPUNIT_ASSERT(!slow.result().problems.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, fleet.accepted().adapters.size());
    }

    void lost_response_to_the_root_write_is_no_conflict()
    {
        operators fleet(1);
        auto& change = fleet.add(replace_document(sample_snapshot(1)));
        while (change.next()) {
            const auto* put = std::get_if<store::put_object>(&*change.next());
            const bool is_root = put != nullptr && put->key == root_key("trial");
            stand_in::platform_faults faults;
            faults.drop_answers = is_root;
            fleet.table.set_faults(faults);
            change.on_reply(fleet.table.perform(*change.next()));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, change.result().version);
        CPPUNIT_ASSERT(change.result().status.ok());
    }

    void late_write_and_its_repeat_count_once()
    {
        operators fleet(1);
        auto& change = fleet.add(issue_key("none"));
        auto& first = fleet.add(replace_document(sample_snapshot(1)));
        while (first.next()) {
            first.on_reply(fleet.table.perform(*first.next()));
        }
        std::optional<store::request> delayed;
        while (change.next()) {
            const auto call = *change.next();
            const auto* put = std::get_if<store::put_object>(&call);
            if (put != nullptr && put->key == root_key("trial")) {
                if (!delayed) {
                    delayed = call;
                    change.on_reply({absl::UnknownError("lost"), {}, {}});
                    continue;
                }
                CPPUNIT_ASSERT(fleet.table.perform(*delayed).status.ok());
            }
            change.on_reply(fleet.table.perform(call));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, change.result().version);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, fleet.accepted().version);
    }

    void writer_that_crashes_midway_changes_nothing()
    {
        operators fleet(1);
        fleet.add(replace_document(sample_snapshot(30)));
        fleet.run(false);
        const auto before = fleet.accepted();
        for (int steps = 0;; ++steps) {
            publisher crashing("trial", "dying", replace_document(sample_snapshot(31)),
                               small_parts);
            for (int i = 0; i < steps && crashing.next(); ++i) {
                const auto* put = std::get_if<store::put_object>(&*crashing.next());
                if (put != nullptr && put->key == root_key("trial")) {
                    return;
                }
                crashing.on_reply(fleet.table.perform(*crashing.next()));
            }
            CPPUNIT_ASSERT(fleet.accepted() == before);
        }
    }

    void old_parts_are_erased()
    {
        operators fleet(1);
        for (std::uint64_t i = 1; i <= 20; ++i) {
            fleet.add(replace_document(sample_snapshot(30, i)));
            fleet.run(false);
        }
        const auto stored = split(fleet.accepted(), small_parts);
        CPPUNIT_ASSERT_EQUAL(stored->parts.size(), fleet.stored_parts());
        CPPUNIT_ASSERT(stored->parts.size() > 3);
    }

    void bad_change_writes_nothing()
    {
        operators fleet(1);
        auto bad = sample_snapshot(1);
        bad.teams.clear();
        const auto& change = fleet.add(replace_document(bad));
        const auto& orphan = fleet.add(issue_key("k"));
        fleet.run(false);
        CPPUNIT_ASSERT(!change.result().problems.empty());
        CPPUNIT_ASSERT(!orphan.result().problems.empty());
        CPPUNIT_ASSERT(fleet.table.objects().empty());
    }

    void entry_larger_than_a_part_is_refused()
    {
        operators fleet(1);
        auto large = sample_snapshot(1);
        large.adapters.begin()->second.versions.front().source = std::string(small_parts, 'x');
        const auto& change = fleet.add(replace_document(large));
        fleet.run(false);
        CPPUNIT_ASSERT(absl::IsResourceExhausted(change.result().status));
        CPPUNIT_ASSERT(fleet.table.objects().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_publisher_test);

} // namespace snipespar::config
