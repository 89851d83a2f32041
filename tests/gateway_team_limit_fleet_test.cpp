#include "control/gateway_usage.h"
#include "gateway/team_meter.h"
#include "gateway/usage_reporter.h"

#include <algorithm>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds(50)};
constexpr auto step = milliseconds(10);
constexpr auto window = seconds(8);
constexpr auto standstill = milliseconds(700);
const team_id shops("shops");

// The users' bound on a window of 8 s: a tenth and 11,000 tokens beyond the limit.
constexpr double allowed_over = 0.1;
constexpr double allowed_slack = 11'000;

struct fleet_options {
    int gateways = 5;
    double rate = 68'690;
    /// Demand of the team in its rates.
    double demand = 1;
    double loss = 0;
    /// Share of the gateways that stand still, and that restart, at some moment of the run.
    double frozen_share = 0;
    double restarted_share = 0;
    /// Share of the gateways that hear nothing of any other from `cut_at` on, and is not heard.
    double cut_share = 0;
    seconds cut_at{8};
    seconds cut_length{12};
    /// Demand before the cut, in the team's rates; after it, `demand`.
    std::optional<double> demand_before_cut = std::nullopt;
    std::uint64_t seed = 1;
};

/// Gateways of unequal size that serve one team, with real meters and reporters and a network that
/// loses datagrams.
class limit_fleet {
public:
    explicit limit_fleet(const fleet_options& options) : options_(options), random_(options.seed)
    {
        std::uniform_real_distribution<double> size(0.2, 1.8);
        double sum = 0;
        for (int i = 0; i < options.gateways; ++i) {
            members_.push_back({});
            restart(members_.back(), start);
            members_.back().name = "g" + std::to_string(i);
            members_.back().weight = size(random_);
            sum += members_.back().weight;
        }
        std::uniform_real_distribution<double> chance(0, 1);
        std::uniform_int_distribution<int> moment(6, 20);
        std::uniform_int_distribution<int> length(1, 5);
        for (auto& member : members_) {
            member.weight /= sum;
            if (chance(random_) < options.frozen_share) {
                member.frozen_from = start + seconds(moment(random_));
                member.frozen_until = member.frozen_from + seconds(length(random_));
            }
            if (chance(random_) < options.restarted_share) {
                member.restart_at = start + seconds(moment(random_));
            }
        }
        const auto cut = static_cast<std::size_t>(options.cut_share * options.gateways);
        for (std::size_t i = 0; i < cut; ++i) {
            members_[i].is_cut = true;
        }
    }

    void run(seconds length)
    {
        const std::uint64_t tokens = 1460;
        for (auto now = start; now < start + length; now += step) {
            double granted = 0;
            for (auto& member : members_) {
                if (now >= member.frozen_from && now < member.frozen_until) {
                    // Requests wait in the socket.
                    member.backlog += arrivals(member, now);
                    continue;
                }
                granted += run_member(member, tokens, now);
            }
            granted_.push_back(granted);
        }
    }

    /// Largest sum in a window, relative to the users' bound; 1 is the bound.
    double largest_window() const
    {
        const auto steps = static_cast<std::size_t>(window / step);
        double sum = 0;
        double largest = 0;
        for (std::size_t i = 0; i < granted_.size(); ++i) {
            sum += granted_[i] - (i >= steps ? granted_[i - steps] : 0);
            largest = std::max(largest, sum);
        }
        const double limit = options_.rate * (std::chrono::duration<double>(window).count() + 1);
        return largest / (limit * (1 + allowed_over) + allowed_slack);
    }

    double refused_share() const { return refused_ / std::max(asked_, 1.0); }

private:
    struct member {
        std::string name;
        double weight = 0;
        std::unique_ptr<team_meter> meter;
        usage_reporter reporter;
        std::uint64_t start_number = 0;
        std::uint64_t sequence = 0;
        time_point last_run;
        time_point last_tick;
        time_point frozen_from = start + seconds(1000);
        time_point frozen_until = start + seconds(1000);
        time_point restart_at = start + seconds(1000);
        bool is_cut = false;
        double backlog = 0;
        std::vector<control::gateway_usage> inbox;
    };

    void restart(member& item, time_point now)
    {
        item.start_number = ++starts_;
        item.meter = std::make_unique<team_meter>(item.start_number);
        item.meter->set_limits(
            fleet_config({1, {}, {}, {{shops, {"k"}, 0, 1, options_.rate, options_.rate}}, {}}),
            now);
        item.reporter = {};
        item.sequence = 0;
        item.inbox.clear();
        item.last_run = now;
    }

    bool is_cut(const member& item, time_point now) const
    {
        const auto from = start + options_.cut_at;
        return item.is_cut && now >= from && now < from + options_.cut_length;
    }

    double arrivals(const member& item, time_point now)
    {
        constexpr double tokens = 1460;
        const double demand = now < start + options_.cut_at
                                  ? options_.demand_before_cut.value_or(options_.demand)
                                  : options_.demand;
        const double mean = demand * options_.rate * item.weight / tokens *
                            std::chrono::duration<double>(step).count();
        return std::poisson_distribution<int>(mean)(random_);
    }

    double run_member(member& item, std::uint64_t tokens, time_point now)
    {
        if (now >= item.restart_at) {
            restart(item, now);
            item.restart_at = start + seconds(1000);
        }
        if (now - item.last_run > standstill) {
            item.meter->on_resumed(now);
        }
        item.last_run = now;
        // Calls may be read before the datagrams that wait.
        double granted = 0;
        for (item.backlog += arrivals(item, now); item.backlog >= 1; --item.backlog) {
            ++asked_;
            if (item.meter->admit(shops, tokens, now)) {
                ++refused_;
            }
            else {
                granted += static_cast<double>(tokens);
            }
        }
        for (const auto& usage : std::exchange(item.inbox, {})) {
            item.meter->on_usage(usage, now);
        }
        if (now - item.last_tick >= milliseconds(250)) {
            item.last_tick = now;
            item.meter->on_tick(now);
            report(item, now);
        }
        return granted;
    }

    void report(member& item, time_point now)
    {
        auto urgency = item.meter->has_busy_team(now) ? usage_urgency::busy : usage_urgency::none;
        if (item.meter->has_surge(item.reporter.stated(), options_.gateways)) {
            urgency = usage_urgency::surge;
        }
        const auto stated =
            item.reporter.next(item.meter->admitted(), urgency, options_.gateways, now);
        if (!stated) {
            return;
        }
        const control::gateway_usage usage{
            .gateway = item.name,
            .gateway_start = item.start_number,
            .sequence = ++item.sequence,
            .config_version = 1,
            .is_stopping = false,
            .team_tokens = stated->team_tokens,
            .leaving_upstreams = {},
            .is_complete = stated->is_complete,
            .report_interval = stated->next_within,
        };
        std::bernoulli_distribution is_lost(options_.loss);
        for (auto& other : members_) {
            if (other.name != item.name && !is_cut(item, now) && !is_cut(other, now) &&
                !is_lost(random_)) {
                other.inbox.push_back(usage);
            }
        }
    }

    fleet_options options_;
    std::mt19937_64 random_;
    std::vector<member> members_;
    std::vector<double> granted_;
    std::uint64_t starts_ = 0;
    double asked_ = 0;
    double refused_ = 0;
};

constexpr int fleet_sizes[] = {5, 26, 68};
constexpr std::uint64_t seeds = 5;

double largest_of(fleet_options options)
{
    double largest = 0;
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        limit_fleet fleet(options);
        fleet.run(seconds(30));
        largest = std::max(largest, fleet.largest_window());
    }
    return largest;
}

} // namespace

/// A team's limit summed over the gateways of small and large fleets, under the troubles that
/// exceeded it before: hot teams while gateways stand still, restart, or lose datagrams.
class gateway_team_limit_fleet_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_team_limit_fleet_test);
    CPPUNIT_TEST(hot_team_stays_within_its_limit);
    CPPUNIT_TEST(frozen_gateways_bring_no_second_burst);
    CPPUNIT_TEST(restarted_gateways_bring_no_second_burst);
    CPPUNIT_TEST(all_troubles_together_stay_within_the_limit);
    CPPUNIT_TEST(cut_gateways_share_the_limit);
    CPPUNIT_TEST(team_within_its_limit_is_hardly_ever_refused);
    CPPUNIT_TEST_SUITE_END();

    static void assert_within(const fleet_options& options)
    {
        const double largest = largest_of(options);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(options.gateways) +
                                   " gateways: " + std::to_string(largest) + " of the bound",
                               largest <= 1);
    }

public:
    void hot_team_stays_within_its_limit()
    {
        for (const int gateways : fleet_sizes) {
            assert_within({.gateways = gateways, .demand = 4, .loss = 0.05});
        }
    }

    void frozen_gateways_bring_no_second_burst()
    {
        for (const int gateways : fleet_sizes) {
            assert_within({.gateways = gateways, .demand = 4, .frozen_share = 0.5});
        }
    }

    void restarted_gateways_bring_no_second_burst()
    {
        for (const int gateways : fleet_sizes) {
            assert_within({.gateways = gateways, .demand = 4, .restarted_share = 0.8});
        }
    }

    void all_troubles_together_stay_within_the_limit()
    {
        for (const int gateways : fleet_sizes) {
            assert_within({.gateways = gateways,
                           .demand = 4,
                           .loss = 0.1,
                           .frozen_share = 0.4,
                           .restarted_share = 0.4});
        }
    }

    // Guards against gateways that forget those behind a cut, and grant the whole limit on each
    // side.
    void cut_gateways_share_the_limit()
    {
        for (const int gateways : fleet_sizes) {
            for (const double before : {0.5, 4.0}) {
                assert_within({.gateways = gateways,
                               .demand = 4,
                               .cut_share = 0.35,
                               .demand_before_cut = before});
            }
        }
    }

    void team_within_its_limit_is_hardly_ever_refused()
    {
        for (const int gateways : fleet_sizes) {
            limit_fleet fleet({.gateways = gateways, .demand = 0.7});
            fleet.run(seconds(60));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(gateways) +
                                       " gateways: " + std::to_string(fleet.refused_share()),
                                   fleet.refused_share() < 1.0 / 500);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_team_limit_fleet_test);

} // namespace snipespar::gateway
