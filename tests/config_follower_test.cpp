#include "config/follower.h"

#include "support/config_fleet.h"
#include "support/config_samples.h"

#include <algorithm>
#include <chrono>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace snipespar::config {

using namespace std::chrono_literals;

class config_follower_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(config_follower_test);
    CPPUNIT_TEST(accepted_version_is_in_force_everywhere_within_5_s);
    CPPUNIT_TEST(process_cut_from_the_platform_learns_from_peers);
    CPPUNIT_TEST(process_cut_off_alone_stops_and_the_rest_goes_on);
    CPPUNIT_TEST(outage_of_an_hour_stops_nobody);
    CPPUNIT_TEST(process_born_in_an_outage_takes_its_peers_version);
    CPPUNIT_TEST(process_born_alone_in_an_outage_serves_nothing);
    CPPUNIT_TEST(paused_process_stops_at_once_and_catches_up);
    CPPUNIT_TEST(missing_or_damaged_part_is_fetched_from_peers);
    CPPUNIT_TEST(no_process_ever_reverts_under_random_faults);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t entries = 3;
    static constexpr std::size_t agents = 4;

    static void start(config_fleet& fleet)
    {
        fleet.start(entries, agents);
        fleet.publish(replace_document(sample_snapshot(20)), 1000);
        fleet.run_for(5s);
        CPPUNIT_ASSERT(fleet.all_at(1));
    }

    static void outage(config_fleet& fleet, bool on)
    {
        stand_in::platform_faults faults;
        faults.outage = on;
        fleet.platform.set_faults(faults);
    }

    static std::size_t admitting(config_fleet& fleet)
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            count += fleet.at(i).logic->may_admit(fleet.now()) ? 1 : 0;
        }
        return count;
    }

public:
    void accepted_version_is_in_force_everywhere_within_5_s()
    {
        config_fleet fleet(1);
        start(fleet);
        const auto change = fleet.publish(issue_key("k"));
        while (change->result().version == 0) {
            fleet.run_for(1ms);
        }
        fleet.run_for(5s);
        CPPUNIT_ASSERT(fleet.all_at(2));
        CPPUNIT_ASSERT_EQUAL(fleet.size(), admitting(fleet));
    }

    void process_cut_from_the_platform_learns_from_peers()
    {
        config_fleet fleet(2);
        start(fleet);
        fleet.at(0).cut_from_platform = true;
        fleet.publish(issue_key("k"));
        fleet.run_for(5s);
        CPPUNIT_ASSERT(fleet.all_at(2));
        fleet.run_for(60s);
        CPPUNIT_ASSERT_EQUAL(fleet.size(), admitting(fleet));
    }

    void process_cut_off_alone_stops_and_the_rest_goes_on()
    {
        config_fleet fleet(3);
        start(fleet);
        fleet.at(0).cut_from_platform = true;
        fleet.at(0).cut_from_peers = true;
        fleet.publish(issue_key("k"));
        fleet.run_for(11s);
        CPPUNIT_ASSERT(!fleet.at(0).logic->may_admit(fleet.now()));
        CPPUNIT_ASSERT_EQUAL(fleet.size() - 1, admitting(fleet));
    }

    void outage_of_an_hour_stops_nobody()
    {
        config_fleet fleet(4);
        start(fleet);
        outage(fleet, true);
        for (int second = 0; second < 3600; ++second) {
            fleet.run_for(1s);
            if (second == 600) {
                fleet.pause(2);
            }
            const std::size_t expected = second < 600 ? fleet.size() : fleet.size() - 1;
            CPPUNIT_ASSERT_GREATEREQUAL(expected, admitting(fleet));
        }
        outage(fleet, false);
        fleet.wake(2);
        fleet.publish(issue_key("k"));
        fleet.run_for(5s);
        CPPUNIT_ASSERT(fleet.all_at(2));
    }

    void process_born_in_an_outage_takes_its_peers_version()
    {
        config_fleet fleet(5);
        start(fleet);
        outage(fleet, true);
        fleet.run_for(60s);
        fleet.restart(1);
        fleet.restart(entries);
        fleet.run_for(5s);
        CPPUNIT_ASSERT(fleet.all_at(1));
        CPPUNIT_ASSERT_EQUAL(fleet.size(), admitting(fleet));
    }

    void process_born_alone_in_an_outage_serves_nothing()
    {
        config_fleet fleet(6);
        start(fleet);
        outage(fleet, true);
        fleet.at(0).cut_from_peers = true;
        fleet.restart(0);
        fleet.run_for(60s);
        CPPUNIT_ASSERT(!fleet.at(0).logic->may_admit(fleet.now()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.at(0).logic->version());
    }

    void paused_process_stops_at_once_and_catches_up()
    {
        config_fleet fleet(7);
        start(fleet);
        fleet.pause(1);
        fleet.publish(issue_key("k"));
        fleet.run_for(60s);
        CPPUNIT_ASSERT(!fleet.at(1).logic->may_admit(fleet.now()));
        fleet.wake(1);
        CPPUNIT_ASSERT(!fleet.at(1).logic->may_admit(fleet.now()) ||
                       fleet.at(1).logic->version() == 2);
        fleet.run_for(5s);
        CPPUNIT_ASSERT(fleet.all_at(2));
        CPPUNIT_ASSERT_EQUAL(fleet.size(), admitting(fleet));
    }

    void missing_or_damaged_part_is_fetched_from_peers()
    {
        config_fleet fleet(8);
        start(fleet);
        auto& objects = fleet.platform.objects();
        bool erase = false;
        for (auto item = objects.begin(); item != objects.end();) {
            erase = !erase;
            if (item->first == root_key("trial")) {
                ++item;
            }
            else if (erase) {
                item = objects.erase(item);
            }
            else {
                item->second.value += " ";
                ++item;
            }
        }
        fleet.restart(0);
        fleet.run_for(5s);
        CPPUNIT_ASSERT(fleet.all_at(1));
        CPPUNIT_ASSERT(fleet.at(0).logic->damaged() > 0);
    }

    void no_process_ever_reverts_under_random_faults()
    {
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            config_fleet fleet(seed);
            start(fleet);
            std::mt19937_64 random(seed);
            std::vector<std::shared_ptr<publisher>> changes;
            for (int round = 0; round < 30; ++round) {
                const std::size_t index = random() % fleet.size();
                auto& item = fleet.at(index);
                item.cut_from_platform = random() % 4 == 0;
                item.cut_from_peers = random() % 6 == 0;
                if (random() % 8 == 0) {
                    fleet.restart(index);
                }
                item.paused ? fleet.wake(index) : random() % 4 == 0 ? fleet.pause(index) : void();
                stand_in::platform_faults faults;
                faults.outage = random() % 4 == 0;
                faults.drop_answers = random() % 4 == 0;
                faults.stale_list = random() % 4 == 0;
                fleet.platform.set_faults(faults);
                changes.push_back(fleet.publish(issue_key("k" + std::to_string(round))));
                fleet.run_for(fleet.random_delay(4000));
            }
            heal(fleet);
            check_converged(fleet, changes);
        }
    }

private:
    static void heal(config_fleet& fleet)
    {
        fleet.platform.set_faults({});
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.at(i).cut_from_platform = false;
            fleet.at(i).cut_from_peers = false;
            fleet.wake(i);
        }
        fleet.run_for(5s);
    }

    static void check_converged(config_fleet& fleet,
                                const std::vector<std::shared_ptr<publisher>>& changes)
    {
        std::uint64_t newest = 1;
        for (const auto& change : changes) {
            newest = std::max(newest, change->result().version);
        }
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const auto& adopted = fleet.at(i).adopted;
            CPPUNIT_ASSERT(std::ranges::adjacent_find(adopted, std::greater_equal{}) ==
                           adopted.end());
            CPPUNIT_ASSERT(fleet.at(i).logic->version() >= newest);
            CPPUNIT_ASSERT_EQUAL(fleet.at(0).logic->version(), fleet.at(i).logic->version());
        }
        const auto& keys = fleet.at(0).logic->active_config()->keys;
        for (std::size_t i = 0; i < changes.size(); ++i) {
            if (changes[i]->result().version != 0) {
                CPPUNIT_ASSERT(keys.contains(key_id("k" + std::to_string(i))));
            }
        }
        CPPUNIT_ASSERT_EQUAL(fleet.size(), admitting(fleet));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_follower_test);

} // namespace snipespar::config
