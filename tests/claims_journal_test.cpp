#include "claims/claim_journal.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace snipespar::claims {

namespace {

template <class Wanted>
const Wanted* find(const journal_actions& actions)
{
    for (const auto& action : actions) {
        if (const auto* found = std::get_if<Wanted>(&action)) {
            return found;
        }
    }
    return nullptr;
}

bool is_write_to_slot(const journal_actions& actions)
{
    const auto* write = find<write_object>(actions);
    return write != nullptr && write->location.slot.has_value();
}

} // namespace

class claims_journal_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(claims_journal_test);
    CPPUNIT_TEST(claim_is_answered_only_after_its_write);
    CPPUNIT_TEST(lost_answer_of_a_write_is_found_by_the_nonce);
    CPPUNIT_TEST(outage_refuses_all_that_wait_and_later_claims_at_once);
    CPPUNIT_TEST(paused_sealer_cannot_overwrite_a_live_segment);
    CPPUNIT_TEST(overdue_claim_is_refused_as_possibly_written);
    CPPUNIT_TEST(outcome_shares_the_commit_of_a_claim);
    CPPUNIT_TEST(unreadable_page_is_not_overwritten);
    CPPUNIT_TEST_SUITE_END();

public:
    void claim_is_answered_only_after_its_write()
    {
        claim_journal journal = make("a");
        auto actions = journal.claim(request("a", 1), now());
        actions = journal.on_read(id_of<read_object>(actions), {read_status::absent, 0, {}}, now());
        CPPUNIT_ASSERT(find<answer_claim>(actions) == nullptr);
        const auto* write = find<write_object>(actions);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, write->expected_version);
        CPPUNIT_ASSERT(journal.on_write(write->operation + 1, {}, now()).empty());
        actions = journal.on_write(write->operation, {write_status::written, 1}, now());
        CPPUNIT_ASSERT(granted(actions));
    }

    void lost_answer_of_a_write_is_found_by_the_nonce()
    {
        claim_journal journal = make("a");
        const auto write = first_write(journal, "a", 1);
        auto actions = journal.on_write(write.operation, {write_status::unknown, 0}, now());
        CPPUNIT_ASSERT(find<answer_claim>(actions) == nullptr);
        actions = journal.on_read(id_of<read_object>(actions), {read_status::found, 9, write.value},
                                  now());
        CPPUNIT_ASSERT(granted(actions));
    }

    void outage_refuses_all_that_wait_and_later_claims_at_once()
    {
        claim_journal journal = make("a");
        const auto read = id_of<read_object>(journal.claim(request("a", 1), now()));
        journal.claim(request("a", 2), now());
        auto actions = journal.on_read(read, {read_status::unavailable, 0, {}}, now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, actions.size());
        const auto* answer = find<answer_claim>(actions);
        CPPUNIT_ASSERT(!std::get<claim_refused>(answer->decision).may_be_written);
        actions = journal.claim(request("a", 3), now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
        CPPUNIT_ASSERT(
            std::holds_alternative<claim_refused>(find<answer_claim>(actions)->decision));
    }

    // One writer reserves a slot and stops. Another seals there, and then the first one goes on.
    void paused_sealer_cannot_overwrite_a_live_segment()
    {
        constexpr std::size_t one_record = 100;
        claim_journal first = make("a", one_record);
        auto write = first_write(first, "a", 1);
        first.on_write(write.operation, {write_status::written, 1}, now());
        pass();
        auto actions = first.claim(request("a", 2), now());
        const auto slot_read = id_of<read_object>(actions);
        actions = first.on_read(slot_read, {read_status::absent, 0, {}}, now());
        write = *find<write_object>(actions);
        CPPUNIT_ASSERT(std::get<journal_page>(write.value).reservation.has_value());
        actions = first.on_write(write.operation, {write_status::written, 2}, now());
        pass();
        actions = first.claim(request("a", 3), now());
        CPPUNIT_ASSERT(is_write_to_slot(actions));
        const write_object paused = *find<write_object>(actions);

        claim_journal second = make("b", one_record);
        const auto page_read = id_of<read_object>(second.claim(request("b", 1), now()));
        actions = second.on_read(page_read, {read_status::found, 2, write.value}, now());
        actions = second.on_read(id_of<read_object>(actions), {read_status::absent, 0, {}}, now());
        const auto* taken = find<write_object>(actions);
        const auto reservation = std::get<journal_page>(taken->value).reservation;
        CPPUNIT_ASSERT(reservation.has_value() && reservation->writer.host == host_id("b"));
        second.on_write(taken->operation, {write_status::written, 3}, now());
        pass();
        actions = second.claim(request("b", 2), now());
        CPPUNIT_ASSERT(is_write_to_slot(actions));
        CPPUNIT_ASSERT(find<write_object>(actions)->location == paused.location);
        constexpr std::uint64_t sealed_version = 4;
        CPPUNIT_ASSERT(paused.expected_version < sealed_version);

        actions = first.on_write(paused.operation, {write_status::conflict, 0}, now());
        CPPUNIT_ASSERT(!is_write_to_slot(actions));
        CPPUNIT_ASSERT(!find<read_object>(actions)->location.slot.has_value());
    }

    void overdue_claim_is_refused_as_possibly_written()
    {
        claim_journal journal = make("a");
        first_write(journal, "a", 1);
        steady_ += std::chrono::minutes(1);
        const auto actions = journal.on_tick(now());
        const auto* answer = find<answer_claim>(actions);
        CPPUNIT_ASSERT(answer != nullptr);
        CPPUNIT_ASSERT(std::get<claim_refused>(answer->decision).may_be_written);
    }

    void outcome_shares_the_commit_of_a_claim()
    {
        claim_journal journal = make("a");
        const auto write = first_write(journal, "a", 1);
        journal.on_write(write.operation, {write_status::written, 1}, now());
        const auto done = request("a", 1);
        const recorded_answer answer{200, "text/plain", digest_of("x"), "x"};
        auto actions = journal.record_outcome(
            {done.key, done.nonce, done.fingerprint, record_kind::finished, answer}, now());
        CPPUNIT_ASSERT(actions.empty());
        actions = journal.claim(request("a", 2), now());
        const auto& page = std::get<journal_page>(find<write_object>(actions)->value);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, page.records.size());
    }

    void unreadable_page_is_not_overwritten()
    {
        claim_journal journal = make("a");
        const auto read = id_of<read_object>(journal.claim(request("a", 1), now()));
        const auto actions = journal.on_read(read, {read_status::found, 4, std::nullopt}, now());
        CPPUNIT_ASSERT(find<write_object>(actions) == nullptr);
        CPPUNIT_ASSERT(
            std::holds_alternative<claim_refused>(find<answer_claim>(actions)->decision));
    }

private:
    static claim_journal make(const char* host,
                              std::size_t seal_bytes = journal_limits{}.seal_bytes)
    {
        journal_limits limits;
        limits.seal_bytes = seal_bytes;
        return {0, {host_id(host), 1}, limits};
    }

    instant now() const
    {
        return {time_point(steady_),
                wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(steady_))};
    }
    void pass() { steady_ += std::chrono::seconds(2); }

    claim_request request(const char* host, std::uint64_t number) const
    {
        const std::string key = std::string(host) + std::to_string(number);
        return {digest_of(key),
                {{host_id(host), 1}, number},
                digest_of("request"),
                time_point(steady_ + std::chrono::seconds(2))};
    }

    template <class Operation>
    static operation_id id_of(const journal_actions& actions)
    {
        const auto* found = find<Operation>(actions);
        CPPUNIT_ASSERT(found != nullptr);
        return found->operation;
    }

    write_object first_write(claim_journal& journal, const char* host, std::uint64_t number) const
    {
        const auto read = id_of<read_object>(journal.claim(request(host, number), now()));
        const auto actions = journal.on_read(read, {read_status::absent, 0, {}}, now());
        return *find<write_object>(actions);
    }

    static bool granted(const journal_actions& actions)
    {
        const auto* answer = find<answer_claim>(actions);
        return answer != nullptr && answer->decision == claim_decision(claim_granted{});
    }

    duration steady_ = std::chrono::hours(1);
};

CPPUNIT_TEST_SUITE_REGISTRATION(claims_journal_test);

} // namespace snipespar::claims
