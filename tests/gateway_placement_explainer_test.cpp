#include "gateway/placement_explainer.h"

#include "gateway/placement_query.h"
#include "gateway/service_rule.h"
#include "gateway/upstream_selector.h"
#include "gateway/upstream_table.h"

#include <algorithm>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <map>
#include <random>
#include <string>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds(50)};
const failure_domain_id near("near");

upstream_id id(int number)
{
    return upstream_id(fmt::format("i-{}", number));
}

cli::endpoint address(int number)
{
    return {fmt::format("10.0.0.{}", number + 1), 80};
}

/// A table, a service and a query drawn at random, so that every branch of the choice is met.
class random_case {
public:
    explicit random_case(unsigned seed) : random_(seed)
    {
        if (draw(3) > 0) {
            service.engine = engine_rule{8, 100'000, 4, {"base"}};
        }
        const int upstreams = draw(10);
        for (int i = 0; i < upstreams; ++i) {
            add(i);
        }
        table.set_evacuated(draw(6) == 0 ? std::set{failure_domain_id("far")}
                                         : std::set<failure_domain_id>{},
                            start);
        query.service = "s";
        query.model = "base";
        query.adapter = service.engine && draw(4) > 0 ? "base/a1" : "";
        query.min_version = static_cast<std::uint64_t>(draw(3));
        query.share = draw(4) * 0.2;
        query.session = static_cast<std::uint64_t>(draw(5));
        query.shared_tokens = draw(2) == 0 ? 0 : 2000;
        query.may_load = draw(5) > 0;
        query.may_ask_for_permit = draw(4) > 0;
        query.software = draw(4) == 0 ? "v1" : "";
        query.route = "r";
        query.aim = milliseconds(draw(3) * 400);
        query.wanted_by = start + milliseconds(draw(5) * 100);
        query.needs_room = draw(4) == 0;
        query.prompt_tokens = static_cast<std::uint64_t>(draw(4000));
        if (draw(4) == 0) {
            query.excluded.insert(id(0));
        }
    }

    placement_decision choose(upstream_selector& selector) const
    {
        return selector.choose(query, service, table, 2, start);
    }

    placement_explanation explain(const upstream_selector& selector) const
    {
        return placement_explainer(selector, table, 2).explain(query, service, start);
    }

    service_rule service{"s", 300, std::nullopt};
    placement_query query;
    upstream_table table;

private:
    int draw(int below) { return std::uniform_int_distribution<int>(0, below - 1)(random_); }

    void add(int i)
    {
        upstream_entry entry{id(i),      "s",
                             address(i), draw(2) == 0 ? near : failure_domain_id("far"),
                             8,          draw(12) == 0};
        entry.software = draw(3) == 0 ? "v2" : "v1";
        table.update(entry, start);
        for (int calls = draw(10); calls > 0; --calls) {
            table.on_call_sent(id(i), "base/a1", 500);
        }
        for (int failures = draw(8); failures > 3; --failures) {
            table.on_call_ended(id(i), "base/a1", 0, call_result::failure, start);
        }
        if (service.engine && draw(6) > 0) {
            report(i);
        }
        if (!service.engine && draw(2) == 0) {
            table.on_load_stated(id(i), {draw(8), draw(40), 8, 1}, start);
        }
        if (draw(8) == 0) {
            table.on_overloaded(id(i), milliseconds(100 + draw(900)), start);
        }
        if (draw(8) == 0) {
            table.on_permit_refused(id(i), milliseconds(100), start);
        }
        if (draw(8) == 0) {
            table.on_rate_named(id(i), 3, start, start);
        }
        if (draw(8) == 0) {
            table.remove(id(i), start);
        }
    }

    void report(int i)
    {
        engine_status status;
        status.engine = address(i).str();
        status.sidecar_start = 1;
        status.sequence = 1;
        status.models =
            draw(5) == 0 ? std::vector<std::string>{} : std::vector<std::string>{"base"};
        if (draw(2) == 0) {
            status.adapters["base/a1"] = 1 + static_cast<std::uint64_t>(draw(2));
        }
        else if (draw(3) == 0) {
            status.loading = {"base/a1"};
        }
        status.running = draw(14);
        status.is_full = draw(4) == 0;
        status.workload = {static_cast<std::uint64_t>(draw(20'000)), draw(3) * 20.0};
        const auto age = draw(8) == 0 ? milliseconds(1200) : milliseconds(0);
        table.on_engine_status(status, start - age);
    }

    std::mt19937 random_;
};

const explained_upstream& find(const placement_explanation& explained, int number)
{
    const auto found = std::ranges::find_if(
        explained.upstreams, [&](const auto& item) { return item.id == id(number); });
    CPPUNIT_ASSERT(found != explained.upstreams.end());
    return *found;
}

std::string name_at(const placement_explanation& explained, int number)
{
    return std::string(name_of(find(explained, number).status));
}

} // namespace

class gateway_placement_explainer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_placement_explainer_test);
    CPPUNIT_TEST(decision_is_the_next_choice_and_draws_nothing);
    CPPUNIT_TEST(choice_that_is_not_drawn_is_the_same_for_every_draw);
    CPPUNIT_TEST(each_exclusion_is_named);
    CPPUNIT_TEST(engines_are_described);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an explanation that names another upstream than the choice after it, or that
    // changes later choices.
    void decision_is_the_next_choice_and_draws_nothing()
    {
        std::map<std::size_t, int> kinds;
        for (unsigned seed = 0; seed < cases; ++seed) {
            const random_case drawn(seed);
            upstream_selector selector(near, seed);
            auto unasked = selector;
            for (int i = 0; i < 3; ++i) {
                const auto explained = drawn.explain(selector);
                CPPUNIT_ASSERT_EQUAL(drawn.table.all().size(), explained.upstreams.size());
                const auto chosen = drawn.choose(selector);
                CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}", seed), chosen == explained.decision);
                CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}", seed),
                                       chosen == drawn.choose(unasked));
                ++kinds[chosen.destination.index()];
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, kinds.size());
    }

    // Guards against explanations that call a choice certain which another draw would change, and
    // against drawn upstreams that are not marked.
    void choice_that_is_not_drawn_is_the_same_for_every_draw()
    {
        int certain = 0;
        int uncertain = 0;
        for (unsigned seed = 0; seed < cases; ++seed) {
            const random_case drawn(seed);
            const auto explained = drawn.explain(upstream_selector(near, 0));
            ++(explained.depends_on_draw ? uncertain : certain);
            for (std::uint64_t draw = 1; draw <= 12; ++draw) {
                upstream_selector other(near, draw);
                const auto chosen = drawn.choose(other);
                const auto* target = std::get_if<send_to>(&chosen.destination);
                const bool is_marked =
                    target != nullptr &&
                    std::ranges::any_of(explained.upstreams, [&](const auto& item) {
                        return item.id == target->upstream && item.is_drawn;
                    });
                const bool holds = explained.depends_on_draw ? target == nullptr || is_marked ||
                                                                   is_least_busy(explained, *target)
                                                             : chosen == explained.decision;
                CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}, draw {}", seed, draw), holds);
            }
        }
        CPPUNIT_ASSERT(certain > 50);
        CPPUNIT_ASSERT(uncertain > 50);
    }

    void each_exclusion_is_named()
    {
        upstream_table table;
        const service_rule service{"s", 300, std::nullopt};
        for (int i = 0; i < 7; ++i) {
            const auto domain = i == 1 ? failure_domain_id("far") : near;
            upstream_entry entry{id(i), "s", address(i), domain, 8, i == 2};
            table.update(entry, start);
        }
        table.update({id(7), "other", address(7), near, 8, false}, start);
        table.set_evacuated({failure_domain_id("far")}, start);
        table.on_overloaded(id(3), milliseconds(700), start);
        table.on_permit_refused(id(4), milliseconds(300), start);
        for (int i = 0; i < 4; ++i) {
            table.on_call_sent(id(5), "", 0);
            table.on_call_ended(id(5), "", 0, call_result::failure, start);
        }
        table.remove(id(6), start);
        placement_query query;
        query.service = "s";
        const auto explained = placement_explainer(upstream_selector(near, 1), table, 1)
                                   .explain(query, service, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, explained.upstreams.size());
        CPPUNIT_ASSERT_EQUAL(std::string("ready"), name_at(explained, 0));
        CPPUNIT_ASSERT_EQUAL(std::string("evacuated"), name_at(explained, 1));
        CPPUNIT_ASSERT_EQUAL(std::string("leaving"), name_at(explained, 2));
        CPPUNIT_ASSERT_EQUAL(std::string("closed"), name_at(explained, 3));
        CPPUNIT_ASSERT(start + milliseconds(700) == find(explained, 3).until);
        CPPUNIT_ASSERT_EQUAL(std::string("cold"), name_at(explained, 4));
        CPPUNIT_ASSERT_EQUAL(std::string("ejected"), name_at(explained, 5));
        CPPUNIT_ASSERT_EQUAL(std::string("removed"), name_at(explained, 6));
        CPPUNIT_ASSERT(!explained.depends_on_draw);
        CPPUNIT_ASSERT(placement(send_to{id(0)}) == explained.decision.destination);
    }

    void engines_are_described()
    {
        upstream_table table;
        const service_rule service{"s", 300, engine_rule{8, 100'000, 4, {"base"}}};
        for (int i = 0; i < 5; ++i) {
            table.update({id(i), "s", address(i), near, 8, false}, start);
            engine_status status;
            status.engine = address(i).str();
            status.sidecar_start = 1;
            status.sequence = 1;
            status.models = {"base"};
            status.running = i == 1 ? 12 : 2;
            status.is_full = i == 3;
            status.workload = {1000, 50};
            if (i < 2) {
                status.adapters["base/a1"] = 1;
            }
            if (i == 2) {
                status.loading = {"base/a1"};
            }
            if (i < 4) {
                table.on_engine_status(status, start);
            }
        }
        placement_query query;
        query.service = "s";
        query.model = "base";
        query.adapter = "base/a1";
        query.prompt_tokens = 500;
        const auto explained = placement_explainer(upstream_selector(near, 1), table, 1)
                                   .explain(query, service, start);
        CPPUNIT_ASSERT_EQUAL(std::string("ready"), name_at(explained, 0));
        CPPUNIT_ASSERT_EQUAL(std::string("full"), name_at(explained, 1));
        CPPUNIT_ASSERT_EQUAL(std::string("loading"), name_at(explained, 2));
        CPPUNIT_ASSERT_EQUAL(std::string("cannot_load"), name_at(explained, 3));
        CPPUNIT_ASSERT_EQUAL(std::string("unreported"), name_at(explained, 4));
        const auto& chosen = find(explained, 0);
        CPPUNIT_ASSERT_EQUAL(30.0, chosen.start_ms.value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1000}, chosen.waiting_tokens.value());
        CPPUNIT_ASSERT_EQUAL(2.0, chosen.load);
        CPPUNIT_ASSERT(chosen.adapter == explained_upstream::residency::resident);
        CPPUNIT_ASSERT(find(explained, 2).adapter == explained_upstream::residency::loading);
        CPPUNIT_ASSERT(placement(send_to{id(0)}) == explained.decision.destination);
    }

private:
    static constexpr unsigned cases = 600;

    // If both drawn engines are busy, the least busy of all is chosen.
    static bool is_least_busy(const placement_explanation& explained, const send_to& target)
    {
        const auto key = [](const auto& item) {
            return std::pair(item.start_ms.value_or(0), item.load);
        };
        const auto chosen = std::ranges::find_if(
            explained.upstreams, [&](const auto& item) { return item.id == target.upstream; });
        return explained.limits.has_value() &&
               std::ranges::none_of(explained.upstreams, [&](const auto& item) {
                   return item.status == standing::ready && key(item) < key(*chosen);
               });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_placement_explainer_test);

} // namespace snipespar::gateway
