#include "route/ranking.h"
#include "route/upstream_view.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <set>

namespace snipespar::route {

namespace {

constexpr time_point at(duration moment)
{
    return time_point(moment);
}

const upstream_id& chosen(const upstream_choice& choice)
{
    CPPUNIT_ASSERT(choice.upstream.has_value());
    return *choice.upstream;
}

} // namespace

class route_ranking_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(route_ranking_test);
    CPPUNIT_TEST(leaving_upstream_gets_no_new_work);
    CPPUNIT_TEST(leave_ends_only_with_a_new_agent);
    CPPUNIT_TEST(failing_upstream_is_ejected_and_gets_one_trial);
    CPPUNIT_TEST(ejected_upstream_serves_when_no_other_is_left);
    CPPUNIT_TEST(entries_agree_and_same_prefix_keeps_to_two_engines);
    CPPUNIT_TEST(hot_adapter_spreads_and_shrinks_slowly);
    CPPUNIT_TEST(resident_engine_wins_until_its_queue_exceeds_a_load);
    CPPUNIT_TEST(idle_service_wins_and_own_domain_is_preferred);
    CPPUNIT_TEST(loss_of_one_engine_moves_only_its_adapters);
    CPPUNIT_TEST(outdated_report_is_ignored);
    CPPUNIT_TEST(stream_goes_only_to_the_software_that_began_it);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (int i = 0; i < engines; ++i) {
            add("e" + std::to_string(i), config::upstream_kind::engine, "base", i);
        }
        for (int i = 0; i < services; ++i) {
            add("s" + std::to_string(i), config::upstream_kind::service, "stock", i);
        }
        view_ = upstream_view();
        view_.set_upstreams(upstreams_);
        for (const auto& [id, upstream] : upstreams_) {
            view_.on_link_up(id, 1);
        }
    }

    void leaving_upstream_gets_no_new_work()
    {
        const auto first = chosen(engine(request(1)));
        view_.on_leaving(first);
        CPPUNIT_ASSERT(chosen(engine(request(1))) != first);
        const auto second = chosen(engine(request(1)));
        view_.on_host_list({host_of(second)});
        for (int i = 0; i < 500; ++i) {
            const auto id = chosen(engine(request(i, i)));
            CPPUNIT_ASSERT(id != first && id != second);
        }
        for (const auto& [id, upstream] : upstreams_) {
            view_.on_leaving(id);
        }
        CPPUNIT_ASSERT(!engine(request(1)).upstream.has_value());
        CPPUNIT_ASSERT(engine(request(1)).retry_after.has_value());
        CPPUNIT_ASSERT(!service().upstream.has_value());
    }

    void leave_ends_only_with_a_new_agent()
    {
        const upstream_id id("e0");
        view_.on_leaving(id);
        view_.on_host_list({});
        view_.on_link_lost(id);
        view_.on_link_up(id, 1);
        CPPUNIT_ASSERT(view_.availability_of(0, at({})) == availability::leaving);
        view_.on_link_up(id, 2);
        CPPUNIT_ASSERT(view_.availability_of(0, at({})) == availability::available);
    }

    void failing_upstream_is_ejected_and_gets_one_trial()
    {
        const upstream_id id("s0");
        const auto index = view_.index_of(id).value();
        const view_limits limits;
        for (std::uint32_t i = 0; i < limits.ejection_streak; ++i) {
            CPPUNIT_ASSERT(view_.availability_of(index, at({})) == availability::available);
            view_.on_attempt_sent(id);
            view_.on_attempt_failed(id, at({}));
        }
        CPPUNIT_ASSERT(view_.availability_of(index, at({})) == availability::ejected);
        const auto later = at(limits.ejection_time);
        CPPUNIT_ASSERT(view_.availability_of(index, later) == availability::available);
        view_.on_attempt_sent(id);
        CPPUNIT_ASSERT(view_.availability_of(index, later) == availability::on_trial);
        view_.on_attempt_failed(id, later);
        CPPUNIT_ASSERT(view_.availability_of(index, later + limits.ejection_time) ==
                       availability::ejected);
        const auto recovered_at = later + 2 * limits.ejection_time;
        view_.on_attempt_sent(id);
        view_.on_attempt_succeeded(id, {});
        view_.on_attempt_sent(id);
        CPPUNIT_ASSERT(view_.availability_of(index, recovered_at) == availability::available);
    }

    void ejected_upstream_serves_when_no_other_is_left()
    {
        for (const auto& [id, upstream] : upstreams_) {
            for (int i = 0; i < 3; ++i) {
                view_.on_attempt_failed(id, at({}));
            }
        }
        CPPUNIT_ASSERT(service().upstream.has_value());
        CPPUNIT_ASSERT(engine(request(1)).upstream.has_value());
    }

    void entries_agree_and_same_prefix_keeps_to_two_engines()
    {
        ranking other({}, failure_domain_id("d1"), 99);
        for (int adapter = 0; adapter < 50; ++adapter) {
            auto hot = request(adapter, adapter);
            hot.demand_tokens_per_s = 1e6;
            const auto first = chosen(engine(hot));
            const auto second_choice =
                chosen(ranking_.choose_engine(view_, hot, {{first}}, at({})));
            CPPUNIT_ASSERT(first == chosen(other.choose_engine(view_, hot, {}, at({}))));
            CPPUNIT_ASSERT(second_choice ==
                           chosen(other.choose_engine(view_, hot, {{first}}, at({}))));
        }
    }

    void hot_adapter_spreads_and_shrinks_slowly()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, spread(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, spread(1650));
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, spread(1550));
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, spread(1e9));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, spread(10));
    }

    void resident_engine_wins_until_its_queue_exceeds_a_load()
    {
        const auto plain = request(1);
        std::set<upstream_id> engine_pair;
        for (int i = 0; i < 50; ++i) {
            engine_pair.insert(chosen(engine(plain)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, engine_pair.size());
        const auto resident_engine = *engine_pair.rbegin();
        const ranking_limits limits;
        for (const auto& id : engine_pair) {
            report(id, {}, {});
        }
        report(resident_engine, limits.load_cost / 2, {plain.adapter});
        for (int i = 0; i < 50; ++i) {
            CPPUNIT_ASSERT(chosen(engine(plain)) == resident_engine);
        }
        report(resident_engine, 2 * limits.load_cost, {plain.adapter});
        CPPUNIT_ASSERT(chosen(engine(plain)) != resident_engine);
    }

    void idle_service_wins_and_own_domain_is_preferred()
    {
        for (int i = 0; i < 50; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::string("s0"), chosen(service()).str());
        }
        report(upstream_id("s0"), std::chrono::seconds(1), {});
        std::set<upstream_id> used;
        for (int i = 0; i < 50; ++i) {
            used.insert(chosen(service()));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, used.size());
        const std::vector<upstream_id> tried{upstream_id("s0"), upstream_id("s1"),
                                             upstream_id("s2")};
        CPPUNIT_ASSERT(!ranking_.choose_service(view_, "stock", tried, at({})).upstream);
    }

    void loss_of_one_engine_moves_only_its_adapters()
    {
        constexpr int adapters = 300;
        const upstream_id lost("e4");
        std::vector<upstream_id> before;
        before.reserve(adapters);
        for (int i = 0; i < adapters; ++i) {
            before.push_back(chosen(engine(request(i, 1))));
        }
        upstreams_.erase(lost);
        view_.set_upstreams(upstreams_);
        int moved = 0;
        for (int i = 0; i < adapters; ++i) {
            const auto now = chosen(engine(request(i, 1)));
            CPPUNIT_ASSERT(now != lost);
            moved += now != before[static_cast<std::size_t>(i)] ? 1 : 0;
        }
        CPPUNIT_ASSERT(moved < adapters / 3);
    }

    void outdated_report_is_ignored()
    {
        const upstream_id id("e0");
        view_.on_report(id, {1, 1, std::chrono::seconds(9), {}}, at(std::chrono::seconds(5)));
        view_.on_report(id, {}, at(std::chrono::seconds(4)));
        CPPUNIT_ASSERT(view_.wait_estimate(0, at(std::chrono::seconds(5))) ==
                       duration(std::chrono::seconds(9)));
    }

    // Guards against an engine with other software, and against a guess if none has the same.
    void stream_goes_only_to_the_software_that_began_it()
    {
        for (int i = 0; i < engines; ++i) {
            const upstream_id id("e" + std::to_string(i));
            view_.on_report(id, {0, 0, {}, {}, i == 3 ? "v2" : "v1"}, at({}));
        }
        auto needed = request(1);
        needed.software = "v2";
        for (int adapter = 0; adapter < 20; ++adapter) {
            needed.adapter.adapter = adapter_id("a" + std::to_string(adapter));
            CPPUNIT_ASSERT(chosen(engine(needed)) == upstream_id("e3"));
        }
        CPPUNIT_ASSERT(
            !ranking_.choose_engine(view_, needed, {{upstream_id("e3")}}, at({})).upstream);
        needed.software = "v3";
        CPPUNIT_ASSERT(!engine(needed).upstream);
        // Not read yet: its agent decides.
        view_.on_report(upstream_id("e5"), {}, at(std::chrono::seconds(1)));
        CPPUNIT_ASSERT(chosen(engine(needed)) == upstream_id("e5"));
    }

private:
    static constexpr int engines = 9;
    static constexpr int services = 3;
    static constexpr int domains = 3;

    void add(const std::string& name, config::upstream_kind kind, const std::string& serves, int i)
    {
        config::upstream upstream;
        upstream.id = upstream_id(name);
        upstream.kind = kind;
        upstream.serves = serves;
        upstream.host = host_id("h-" + name);
        upstream.failure_domain = failure_domain_id("d" + std::to_string(i % domains));
        upstreams_[upstream.id] = upstream;
    }

    static engine_request request(int adapter, std::optional<int> prefix = std::nullopt)
    {
        engine_request result;
        result.adapter = {adapter_id("a" + std::to_string(adapter)), "1"};
        result.base_model = "base";
        if (prefix) {
            result.prefix_hash = static_cast<std::uint64_t>(*prefix);
        }
        return result;
    }

    std::size_t spread(double demand)
    {
        std::set<upstream_id> used;
        for (int i = 0; i < 300; ++i) {
            auto hot = request(1, i);
            hot.demand_tokens_per_s = demand;
            used.insert(chosen(engine(hot)));
        }
        return used.size();
    }

    upstream_choice engine(const engine_request& needed)
    {
        return ranking_.choose_engine(view_, needed, {}, at({}));
    }
    upstream_choice service() { return ranking_.choose_service(view_, "stock", {}, at({})); }
    host_id host_of(const upstream_id& id) const { return upstreams_.at(id).host; }

    void report(const upstream_id& id, duration queue, std::vector<adapter_ref> resident)
    {
        view_.on_report(id, {0, 0, queue, std::move(resident)}, at({}));
    }

    std::map<upstream_id, config::upstream> upstreams_;
    upstream_view view_;
    ranking ranking_{{}, failure_domain_id("d0"), 7};
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_ranking_test);

} // namespace snipespar::route
