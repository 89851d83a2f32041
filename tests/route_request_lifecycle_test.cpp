#include "route/request_lifecycle.h"
#include "route/retry_budget.h"
#include "support/fake_fleet.h"
#include "support/seeded_check.h"

#include <array>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace snipespar::route {

namespace {

constexpr std::array all_steps{fault_step::before_link,   fault_step::on_link,
                               fault_step::in_queue,      fault_step::at_first_byte,
                               fault_step::in_the_middle, fault_step::after_the_answer,
                               fault_step::none};
constexpr std::array all_kinds{fault_kind::kill,           fault_kind::freeze, fault_kind::cut,
                               fault_kind::upstream_death, fault_kind::gap,    fault_kind::truncate,
                               fault_kind::doubled};

std::vector<attempt_fault> all_faults()
{
    std::vector<attempt_fault> faults;
    for (const auto step : all_steps) {
        for (const auto kind : all_kinds) {
            faults.push_back({step, kind});
        }
    }
    return faults;
}

template <class Action>
const Action* find(const lifecycle_actions& actions)
{
    for (const auto& action : actions) {
        if (const auto* found = std::get_if<Action>(&action)) {
            return found;
        }
    }
    return nullptr;
}

using std::chrono::milliseconds;

constexpr time_point at(std::chrono::milliseconds moment)
{
    return time_point(moment);
}

} // namespace

class route_request_lifecycle_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(route_request_lifecycle_test);
    CPPUNIT_TEST(every_pair_of_faults_at_every_step);
    CPPUNIT_TEST(random_sequences_of_faults);
    CPPUNIT_TEST(idempotent_stream_survives_any_one_fault);
    CPPUNIT_TEST(refused_non_idempotent_is_sent_elsewhere);
    CPPUNIT_TEST(silent_non_idempotent_ends_as_unknown_and_is_not_sent_late);
    CPPUNIT_TEST(a_request_that_crashes_upstreams_takes_down_two);
    CPPUNIT_TEST(retries_stay_a_fraction_of_requests);
    CPPUNIT_TEST(a_refusal_carries_retry_after);
    CPPUNIT_TEST(a_withdrawn_key_cancels_immediately);
    CPPUNIT_TEST(nothing_goes_out_after_the_deadline);
    CPPUNIT_TEST(stream_is_continued_by_the_software_that_began_it);
    CPPUNIT_TEST(stream_of_unstated_software_is_not_continued);
    CPPUNIT_TEST_SUITE_END();

public:
    void every_pair_of_faults_at_every_step()
    {
        for (const bool idempotent : {false, true}) {
            for (const auto answer : {answer_kind::tokens, answer_kind::body}) {
                for (const auto& first : all_faults()) {
                    for (const auto& second : all_faults()) {
                        fake_fleet fleet(idempotent, answer, {first, second});
                        fleet.run();
                    }
                }
            }
        }
    }

    void random_sequences_of_faults()
    {
        CPPUNIT_ASSERT(seeded_check("lifecycle_faults", 4101, 3000, [] {
            const auto step = rc::gen::elementOf(all_steps);
            const auto kind = rc::gen::elementOf(all_kinds);
            const auto fault = rc::gen::construct<attempt_fault>(step, kind);
            const auto faults = *rc::gen::container<std::vector<attempt_fault>>(fault);
            const auto answer = *rc::gen::element(answer_kind::tokens, answer_kind::body);
            fake_fleet fleet(*rc::gen::arbitrary<bool>(), answer, faults);
            fleet.run();
        }));
    }

    void idempotent_stream_survives_any_one_fault()
    {
        for (const auto& fault : all_faults()) {
            fake_fleet fleet(true, answer_kind::tokens, {fault});
            fleet.run();
            CPPUNIT_ASSERT(fleet.finish().reason == finish_reason::complete);
        }
    }

    void refused_non_idempotent_is_sent_elsewhere()
    {
        fake_fleet fleet(false, answer_kind::body,
                         {{fault_step::in_queue, fault_kind::upstream_death},
                          {fault_step::before_link, fault_kind::kill}});
        fleet.run();
        CPPUNIT_ASSERT(fleet.finish().reason == finish_reason::complete);
        CPPUNIT_ASSERT_EQUAL(1, fleet.executions());
    }

    void silent_non_idempotent_ends_as_unknown_and_is_not_sent_late()
    {
        request_lifecycle request({"r", false, answer_kind::body, at(std::chrono::seconds(60))},
                                  limits_, budget_);
        send(request, "a");
        const auto end = request.on_tick(request.next_timeout());
        const auto* answer = find<finish_request>(end);
        CPPUNIT_ASSERT(answer != nullptr && answer->ran == run_state::unknown);
        CPPUNIT_ASSERT(!answer->retry_after.has_value());
        CPPUNIT_ASSERT(find<cancel_attempt>(end) != nullptr);

        request_lifecycle unsent({"r", false, answer_kind::body, at(std::chrono::seconds(60))},
                                 limits_, budget_);
        unsent.start(at({}));
        unsent.on_choice({upstream_id("a"), {}}, at({}));
        unsent.on_tick(unsent.next_timeout());
        CPPUNIT_ASSERT(!unsent.on_sent(1, unsent.state().progress_at));
    }

    void a_request_that_crashes_upstreams_takes_down_two()
    {
        const attempt_fault crash{fault_step::at_first_byte, fault_kind::upstream_death};
        fake_fleet fleet(true, answer_kind::tokens, {crash, crash, crash, crash});
        fleet.run();
        CPPUNIT_ASSERT_EQUAL(2, fleet.executions());
        CPPUNIT_ASSERT(fleet.finish().reason == finish_reason::retries_exhausted);
    }

    void retries_stay_a_fraction_of_requests()
    {
        retry_budget budget({0.1, 5});
        int sent = 0;
        constexpr int requests = 1000;
        for (int i = 0; i < requests; ++i) {
            request_lifecycle request(
                {"r", true, answer_kind::tokens, at(std::chrono::seconds(60))}, limits_, budget);
            auto actions = request.start(at({}));
            while (find<choose_upstream>(actions) != nullptr) {
                ++sent;
                request.on_choice({upstream_id("a"), {}}, at({}));
                actions = request.on_refused(request.state().attempt, {}, at({}));
            }
            CPPUNIT_ASSERT(request.finished());
        }
        CPPUNIT_ASSERT(sent <= requests + requests / 10 + 5);
    }

    void a_refusal_carries_retry_after()
    {
        request_lifecycle request({"r", true, answer_kind::tokens, at(std::chrono::seconds(60))},
                                  limits_, budget_);
        send(request, "a");
        request.on_refused(1, {std::chrono::seconds(7), false}, at({}));
        const auto end = request.on_choice({std::nullopt, std::chrono::seconds(3)}, at({}));
        const auto* answer = find<finish_request>(end);
        CPPUNIT_ASSERT(answer != nullptr && answer->ran == run_state::not_run);
        CPPUNIT_ASSERT(answer->retry_after == duration(std::chrono::seconds(3)));
        CPPUNIT_ASSERT(answer->reason == finish_reason::refused);
    }

    void a_withdrawn_key_cancels_immediately()
    {
        request_lifecycle request({"r", true, answer_kind::tokens, at(std::chrono::seconds(60))},
                                  limits_, budget_);
        send(request, "a");
        const auto end = request.on_key_withdrawn(at({}));
        CPPUNIT_ASSERT(find<cancel_attempt>(end) != nullptr);
        CPPUNIT_ASSERT_EQUAL(401, find<finish_request>(end)->status);
        CPPUNIT_ASSERT(request.on_token(1, 0, at({})).empty());
        CPPUNIT_ASSERT(request.on_key_withdrawn(at({})).empty());
    }

    void nothing_goes_out_after_the_deadline()
    {
        const auto deadline = at(std::chrono::seconds(1));
        request_lifecycle request({"r", true, answer_kind::tokens, deadline}, limits_, budget_);
        request.start(at({}));
        request.on_choice({upstream_id("a"), {}}, at({}));
        CPPUNIT_ASSERT(!request.on_sent(1, deadline));
        const auto end = request.on_tick(deadline);
        CPPUNIT_ASSERT(find<finish_request>(end)->ran == run_state::not_run);
    }

    // Guards against a stream that is joined from the tokens of two software versions.
    void stream_is_continued_by_the_software_that_began_it()
    {
        retry_budget budget({1.0, 10});
        request_lifecycle lifecycle = begun(budget, "v1");
        const auto moved = lifecycle.on_link_lost(1, at(milliseconds(3)));
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), find<choose_upstream>(moved)->software);
        const auto sent = lifecycle.on_choice({upstream_id("u2"), {}}, at(milliseconds(4)));
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), find<send_attempt>(sent)->software);
        CPPUNIT_ASSERT(lifecycle.on_sent(2, at(milliseconds(4))));
        lifecycle.on_started(2, "v2", at(milliseconds(5)));
        const auto other = lifecycle.on_token(2, 1, at(milliseconds(6)));
        CPPUNIT_ASSERT(find<forward_token>(other) == nullptr);
        CPPUNIT_ASSERT(find<cancel_attempt>(other) != nullptr);
    }

    void stream_of_unstated_software_is_not_continued()
    {
        retry_budget budget({1.0, 10});
        request_lifecycle lifecycle = begun(budget, "");
        const auto ended = lifecycle.on_link_lost(1, at(milliseconds(3)));
        CPPUNIT_ASSERT(find<choose_upstream>(ended) == nullptr);
        CPPUNIT_ASSERT(find<finish_request>(ended)->reason == finish_reason::upstream_lost);
    }

private:
    static void send(request_lifecycle& request, const char* upstream)
    {
        request.start(at({}));
        request.on_choice({upstream_id(upstream), {}}, at({}));
        CPPUNIT_ASSERT(request.on_sent(request.state().attempt, at({})));
    }

    // A stream whose first token came from an upstream with this software.
    static request_lifecycle begun(retry_budget& budget, const std::string& software)
    {
        request_lifecycle lifecycle({"r1", true, answer_kind::tokens, at(milliseconds(1000))}, {},
                                    budget);
        lifecycle.start(at(milliseconds(0)));
        lifecycle.on_choice({upstream_id("u1"), {}}, at(milliseconds(1)));
        CPPUNIT_ASSERT(lifecycle.on_sent(1, at(milliseconds(1))));
        lifecycle.on_started(1, software, at(milliseconds(2)));
        CPPUNIT_ASSERT(find<forward_token>(lifecycle.on_token(1, 0, at(milliseconds(2)))) !=
                       nullptr);
        return lifecycle;
    }

    lifecycle_limits limits_;
    retry_budget budget_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_request_lifecycle_test);

} // namespace snipespar::route
