#include "gateway/upstream_table.h"

#include "control/sidecar_heartbeat.h"
#include "resume/origin_store.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace snipespar::gateway {

namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds(50)};

upstream_entry entry(const std::string& id, const std::string& ip = "10.0.0.1")
{
    return {upstream_id(id), "llm", {ip, 80}, failure_domain_id("a"), 64, false};
}

upstream_entry of_version(const std::string& id, const std::string& software)
{
    auto item = entry(id, "10.0.0." + id.substr(2));
    item.process_start_ms = 5;
    item.software = software;
    return item;
}

// Lists an engine whose sidecar has just sent a report with this sequence number.
upstream_id report_engine(upstream_table& table, std::uint64_t sequence)
{
    const auto item = entry("i-1");
    table.update(item, start);
    engine_status status;
    status.engine = item.address.str();
    status.sidecar_start = 1;
    status.sequence = sequence;
    status.models = {"base"};
    table.on_engine_status(status, start);
    return item.id;
}

bool is_open(const upstream_table& table, const std::string& id, time_point now)
{
    const auto* state = table.find(upstream_id(id));
    return state != nullptr && upstream_table::is_open(*state, now);
}

} // namespace

class gateway_upstream_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_upstream_table_test);
    CPPUNIT_TEST(draining_upstream_is_closed_immediately);
    CPPUNIT_TEST(removed_upstream_is_closed_soon);
    CPPUNIT_TEST(expired_entry_survives_a_registry_outage);
    CPPUNIT_TEST(entry_missing_long_after_an_outage_is_removed);
    CPPUNIT_TEST(new_owner_of_an_address_closes_the_old_one);
    CPPUNIT_TEST(entry_of_an_earlier_process_stays_closed);
    CPPUNIT_TEST(restart_under_the_same_name_resets_the_state);
    CPPUNIT_TEST(consecutive_failures_eject_with_backoff);
    CPPUNIT_TEST(refusals_do_not_affect_health);
    CPPUNIT_TEST(older_status_does_not_replace_a_newer_one);
    CPPUNIT_TEST(end_of_use_is_notified_when_slots_are_short);
    CPPUNIT_TEST(ended_call_is_kept_until_it_was_stated);
    CPPUNIT_TEST(silent_sidecar_is_not_told_of_calls_begun);
    CPPUNIT_TEST(upstream_is_kept_while_calls_run_there);
    CPPUNIT_TEST(frozen_host_is_unresponsive);
    CPPUNIT_TEST(heartbeat_confirms_the_last_report);
    CPPUNIT_TEST(statuses_of_invented_engines_are_bounded);
    CPPUNIT_TEST(status_without_an_entry_expires);
    CPPUNIT_TEST(heartbeat_after_a_lost_report_shows_only_that_the_sidecar_lives);
    CPPUNIT_TEST(upstream_that_announced_its_stop_stays_closed);
    CPPUNIT_TEST(stop_announced_to_another_gateway_closes_the_upstream);
    CPPUNIT_TEST(overloaded_upstream_is_closed_as_long_as_it_asked);
    CPPUNIT_TEST(waiting_call_without_an_adapter_requests_none);
    CPPUNIT_TEST(rate_holds_until_a_later_response_names_none);
    CPPUNIT_TEST(entry_back_from_an_old_copy_is_not_trusted);
    CPPUNIT_TEST(entry_lost_by_a_restored_registry_is_kept_until_renewed);
    CPPUNIT_TEST(version_serves_while_one_of_its_upstreams_does);
    CPPUNIT_TEST(sole_version_is_known_after_the_lifetime_of_streams);
    CPPUNIT_TEST(sole_version_is_unknown_after_a_gap_in_the_history);
    CPPUNIT_TEST(registry_is_read_as_of_the_request);
    CPPUNIT_TEST(process_newer_than_its_entry_has_no_known_version);
    CPPUNIT_TEST_SUITE_END();

public:
    void draining_upstream_is_closed_immediately()
    {
        upstream_table table;
        auto item = entry("i-1");
        table.update(item, start);
        CPPUNIT_ASSERT(is_open(table, "i-1", start));
        item.is_draining = true;
        table.update(item, start);
        CPPUNIT_ASSERT(!is_open(table, "i-1", start));
    }

    // Guards against memory that grows with every engine name that a report ever stated.
    void statuses_of_invented_engines_are_bounded()
    {
        upstream_table table;
        const auto id = report_engine(table, 1);
        for (std::size_t i = 0; i < 2 * upstream_table::max_kept_statuses; ++i) {
            engine_status status;
            status.engine = "invented-" + std::to_string(i);
            table.on_engine_status(status, start + milliseconds(i / 2));
        }
        CPPUNIT_ASSERT_EQUAL(upstream_table::max_kept_statuses, table.kept_statuses());
        // That of a listed engine is kept, so that its entry may expire and come back.
        table.remove(id, start + milliseconds(1200));
        table.on_tick(start + milliseconds(2000));
        CPPUNIT_ASSERT(table.find(id) == nullptr);
        table.update(entry("i-1"), start + milliseconds(2000));
        CPPUNIT_ASSERT(table.find(id)->status.has_value());
    }

    // Guards against a status of long ago that counts as new when the engine is listed.
    void status_without_an_entry_expires()
    {
        const auto lifetime = upstream_table::kept_status_lifetime;
        for (const bool is_late : {false, true}) {
            upstream_table table;
            engine_status status;
            status.engine = entry("i-1").address.str();
            table.on_engine_status(status, start);
            const auto now = start + lifetime + milliseconds(is_late ? 1 : 0);
            table.update(entry("i-1"), now);
            CPPUNIT_ASSERT_EQUAL(!is_late, table.find(upstream_id("i-1"))->status.has_value());
            table.on_tick(now);
            CPPUNIT_ASSERT_EQUAL(is_late ? std::size_t{0} : std::size_t{1}, table.kept_statuses());
        }
    }

    // Guards against sidecars that are asked for an adapter without a name.
    void waiting_call_without_an_adapter_requests_none()
    {
        upstream_table table;
        table.update(entry("i-1"), start);
        table.on_adapter_wait(upstream_id("i-1"), "", start);
        CPPUNIT_ASSERT(table.find(upstream_id("i-1"))->adapters.empty());
    }

    // Guards against a rate that is forgotten at the first response sent before it was named.
    void rate_holds_until_a_later_response_names_none()
    {
        upstream_table table;
        table.update(entry("i-1"), start);
        const upstream_id id("i-1");
        const auto named_at = start + milliseconds(100);
        CPPUNIT_ASSERT(table.on_rate_named(id, 4.8, start, named_at));
        CPPUNIT_ASSERT(!table.on_rate_named(id, 4.8, start, named_at));
        CPPUNIT_ASSERT(!table.on_rate_named(id, std::nullopt, start, named_at + milliseconds(50)));
        CPPUNIT_ASSERT_EQUAL(4.8, table.find(id)->rate->per_s);
        CPPUNIT_ASSERT(table.on_rate_named(id, std::nullopt, named_at + milliseconds(1),
                                           named_at + milliseconds(90)));
        CPPUNIT_ASSERT(!table.find(id)->rate);
        // It belongs to the process that named it.
        table.on_rate_named(id, 0, start, named_at);
        auto restarted = entry("i-1");
        restarted.process_start_ms = 7;
        table.update(restarted, named_at);
        CPPUNIT_ASSERT(!table.find(id)->rate);
    }

    // It must get no work 2 s after its entry was removed. The watch that reports it may pause for
    // 0.9 s, and its response may take 250 ms when the store is slow.
    void removed_upstream_is_closed_soon()
    {
        upstream_table table;
        table.update(entry("i-1"), start);
        table.remove(upstream_id("i-1"), start);
        CPPUNIT_ASSERT(is_open(table, "i-1", start));
        CPPUNIT_ASSERT(!is_open(table, "i-1", start + milliseconds(2000 - 900 - 250)));
    }

    void expired_entry_survives_a_registry_outage()
    {
        upstream_table table;
        table.update(entry("i-1"), start);
        table.on_registry_recovered(start);
        table.replace({}, start);
        CPPUNIT_ASSERT(is_open(table, "i-1", start + milliseconds(2000)));
        table.update(entry("i-1"), start + milliseconds(2000));
        table.on_tick(start + milliseconds(3000));
        CPPUNIT_ASSERT(is_open(table, "i-1", start + milliseconds(9000)));
    }

    void entry_missing_long_after_an_outage_is_removed()
    {
        upstream_table table;
        table.update(entry("i-1"), start);
        table.on_registry_recovered(start);
        table.replace({}, start);
        CPPUNIT_ASSERT(!is_open(table, "i-1", start + milliseconds(2500)));
        table.on_tick(start + milliseconds(2500));
        CPPUNIT_ASSERT(table.find(upstream_id("i-1")) == nullptr);
    }

    void new_owner_of_an_address_closes_the_old_one()
    {
        upstream_table table;
        table.update(entry("i-1"), start);
        table.update(entry("i-2"), start);
        CPPUNIT_ASSERT(!is_open(table, "i-1", start));
        CPPUNIT_ASSERT(is_open(table, "i-2", start));
    }

    // The entry of a crashed upstream may remain, and even change, after another process has taken
    // over its address.
    void entry_of_an_earlier_process_stays_closed()
    {
        upstream_table table;
        auto former = entry("i-9");
        former.process_start_ms = 1;
        auto present = entry("i-1");
        present.process_start_ms = 2;
        table.replace({present, former}, start);
        CPPUNIT_ASSERT(is_open(table, "i-1", start));
        CPPUNIT_ASSERT(!is_open(table, "i-9", start));
        former.slots = 8;
        table.update(former, start);
        CPPUNIT_ASSERT(is_open(table, "i-1", start));
        CPPUNIT_ASSERT(!is_open(table, "i-9", start));
    }

    void restart_under_the_same_name_resets_the_state()
    {
        upstream_table table;
        auto item = entry("i-1");
        item.process_start_ms = 1;
        table.update(item, start);
        table.on_call_sent(item.id, "base/a1", 100);
        engine_status status;
        status.engine = item.address.str();
        table.on_engine_status(status, start);
        item.process_start_ms = 2;
        table.update(item, start);
        const auto* state = table.find(item.id);
        CPPUNIT_ASSERT(!state->status);
        CPPUNIT_ASSERT(state->adapters.empty());
        CPPUNIT_ASSERT_EQUAL(1, state->in_flight);
    }

    void consecutive_failures_eject_with_backoff()
    {
        upstream_table table;
        const upstream_id id("i-1");
        table.update(entry("i-1"), start);
        for (int i = 0; i < 4; ++i) {
            table.on_call_sent(id, "", 0);
            table.on_call_ended(id, "", 0, call_result::failure, start);
        }
        const auto first = table.find(id)->ejected_until;
        CPPUNIT_ASSERT(first > start);
        table.on_call_sent(id, "", 0);
        table.on_call_ended(id, "", 0, call_result::failure, first);
        CPPUNIT_ASSERT(table.find(id)->ejected_until - first > first - start);
        table.on_call_sent(id, "", 0);
        table.on_call_ended(id, "", 0, call_result::success, first);
        CPPUNIT_ASSERT_EQUAL(0, table.find(id)->consecutive_failures);
    }

    void refusals_do_not_affect_health()
    {
        upstream_table table;
        const upstream_id id("i-1");
        table.update(entry("i-1"), start);
        for (int i = 0; i < 50; ++i) {
            table.on_call_sent(id, "", 0);
            table.on_call_ended(id, "", 0, call_result::refused, start);
        }
        CPPUNIT_ASSERT(table.find(id)->ejected_until <= start);
        CPPUNIT_ASSERT_EQUAL(0.0, table.find(id)->failure_rate);
        CPPUNIT_ASSERT_EQUAL(0, table.find(id)->in_flight);
    }

    void older_status_does_not_replace_a_newer_one()
    {
        upstream_table table;
        table.update(entry("i-1"), start);
        engine_status status;
        status.engine = "10.0.0.1:80";
        status.sidecar_start = 5;
        status.sequence = 2;
        status.running = 7;
        table.on_engine_status(status, start);
        status.sequence = 1;
        status.running = 3;
        table.on_engine_status(status, start);
        CPPUNIT_ASSERT_EQUAL(7, table.find(upstream_id("i-1"))->status->running);
        status.sidecar_start = 6;
        table.on_engine_status(status, start);
        CPPUNIT_ASSERT_EQUAL(3, table.find(upstream_id("i-1"))->status->running);
    }

    void end_of_use_is_notified_when_slots_are_short()
    {
        upstream_table table;
        const auto item = entry("i-1");
        table.update(item, start);
        engine_status status;
        status.engine = item.address.str();
        const auto end_call = [&] {
            return table.on_call_ended(item.id, "base/a1", 0, call_result::success, start);
        };
        table.on_call_sent(item.id, "base/a1", 100);
        table.on_engine_status(status, start);
        CPPUNIT_ASSERT(!end_call());
        status.sequence = 1;
        status.is_short_of_slots = true;
        table.on_engine_status(status, start);
        table.on_call_sent(item.id, "base/a1", 100);
        table.on_call_sent(item.id, "base/a1", 100);
        CPPUNIT_ASSERT(!end_call());
        CPPUNIT_ASSERT(end_call());
    }

    // A call that ended between two messages to the sidecar was not seen there at all.
    void ended_call_is_kept_until_it_was_stated()
    {
        upstream_table table;
        const auto id = report_engine(table, 1);
        table.on_call_sent(id, "base/a1", 100);
        CPPUNIT_ASSERT_EQUAL(0, table.find(id)->adapters.at("base/a1").begun);
        engine_status status = *table.find(id)->status;
        status.sequence = 2;
        status.counts_calls = true;
        table.on_engine_status(status, start);
        table.on_call_sent(id, "base/a2", 100);
        table.on_call_ended(id, "base/a2", 0, call_result::success, start);
        table.on_tick(start);
        CPPUNIT_ASSERT_EQUAL(1, table.find(id)->adapters.at("base/a2").begun);
        table.on_uses_stated(id);
        table.on_tick(start);
        CPPUNIT_ASSERT(!table.find(id)->adapters.contains("base/a2"));
    }

    // A sidecar rolled back to a build that rejects the count never heard of a busy gateway again,
    // which therefore never learned that the count is not read any more.
    void silent_sidecar_is_not_told_of_calls_begun()
    {
        upstream_table table;
        const auto id = report_engine(table, 1);
        CPPUNIT_ASSERT(!upstream_table::counts_calls(*table.find(id), start));
        engine_status status = *table.find(id)->status;
        status.sequence = 2;
        status.counts_calls = true;
        table.on_engine_status(status, start);
        CPPUNIT_ASSERT(upstream_table::counts_calls(*table.find(id), start + milliseconds(450)));
        table.on_response_started(id, 0, start + milliseconds(1900));
        CPPUNIT_ASSERT(!upstream_table::counts_calls(*table.find(id), start + milliseconds(2000)));
    }

    void upstream_is_kept_while_calls_run_there()
    {
        upstream_table table;
        const upstream_id id("i-1");
        table.update(entry("i-1"), start);
        table.on_call_sent(id, "m/a1", 100);
        table.remove(id, start);
        const auto later = start + std::chrono::seconds(5);
        table.on_tick(later);
        CPPUNIT_ASSERT(table.find(id) != nullptr);
        table.on_call_ended(id, "m/a1", 100, call_result::success, later);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, table.find(id)->prompt_tokens);
        table.on_tick(later);
        CPPUNIT_ASSERT(table.find(id) == nullptr);
    }

    // Requests to a frozen host would run when it resumes, long after their callers disconnected.
    void frozen_host_is_unresponsive()
    {
        upstream_table table;
        const upstream_id id("i-1");
        table.update(entry("i-1"), start);
        CPPUNIT_ASSERT(
            !upstream_table::is_unresponsive(*table.find(id), start + milliseconds(5000)));
        engine_status status;
        status.engine = "10.0.0.1:80";
        status.sidecar_start = 1;
        status.sequence = 1;
        table.on_engine_status(status, start);
        CPPUNIT_ASSERT(
            !upstream_table::is_unresponsive(*table.find(id), start + milliseconds(900)));
        CPPUNIT_ASSERT(
            upstream_table::is_unresponsive(*table.find(id), start + milliseconds(1100)));
        // A sidecar may have stopped while its engine still responds.
        table.on_progress(id, start + milliseconds(1000));
        CPPUNIT_ASSERT(
            !upstream_table::is_unresponsive(*table.find(id), start + milliseconds(1100)));
    }

    void heartbeat_confirms_the_last_report()
    {
        upstream_table table;
        const auto id = report_engine(table, 3);
        table.on_heartbeat({"10.0.0.1:80", 1, 4, 3, 9, 2}, start + milliseconds(1400));
        const auto* state = table.find(id);
        CPPUNIT_ASSERT_EQUAL(9, state->status->running);
        CPPUNIT_ASSERT_EQUAL(2, state->status->waiting);
        CPPUNIT_ASSERT(upstream_table::can_load(*state, "base", start + milliseconds(2900)));
        // A late one changes nothing.
        table.on_heartbeat({"10.0.0.1:80", 1, 4, 3, 5, 5}, start + milliseconds(2000));
        CPPUNIT_ASSERT_EQUAL(9, state->status->running);
        CPPUNIT_ASSERT(upstream_table::is_unresponsive(*state, start + milliseconds(2500)));
    }

    void heartbeat_after_a_lost_report_shows_only_that_the_sidecar_lives()
    {
        upstream_table table;
        const auto id = report_engine(table, 3);
        const auto now = start + milliseconds(1400);
        table.on_heartbeat({"10.0.0.1:80", 1, 5, 4, 9, 2}, now);
        const auto* state = table.find(id);
        CPPUNIT_ASSERT_EQUAL(0, state->status->running);
        CPPUNIT_ASSERT(!upstream_table::is_unresponsive(*state, now));
        CPPUNIT_ASSERT(!upstream_table::can_load(*state, "base", start + milliseconds(1700)));
        // Of another process of the sidecar.
        table.on_heartbeat({"10.0.0.1:80", 2, 9, 1, 9, 2}, start + milliseconds(2500));
        CPPUNIT_ASSERT(upstream_table::is_unresponsive(*state, start + milliseconds(2500)));
    }

    // The entry of an upstream that is leaving may say `ready` for a while, be renewed, be lost and
    // come back; only a new incarnation is used again.
    void upstream_that_announced_its_stop_stays_closed()
    {
        upstream_table table;
        auto item = entry("i-1");
        item.process_start_ms = 1;
        table.update(item, start);
        table.on_leaving(item.id, start);
        CPPUNIT_ASSERT(!is_open(table, "i-1", start));
        item.slots = 8;
        table.update(item, start);
        CPPUNIT_ASSERT(!is_open(table, "i-1", start));
        table.remove(item.id, start);
        table.on_tick(start + std::chrono::seconds(1));
        CPPUNIT_ASSERT(table.find(item.id) == nullptr);
        table.update(item, start + std::chrono::seconds(2));
        CPPUNIT_ASSERT(!is_open(table, "i-1", start + std::chrono::seconds(60)));
        item.process_start_ms = 2;
        table.update(item, start + std::chrono::seconds(60));
        CPPUNIT_ASSERT(is_open(table, "i-1", start + std::chrono::seconds(60)));
    }

    void stop_announced_to_another_gateway_closes_the_upstream()
    {
        upstream_table near;
        upstream_table far;
        auto item = entry("i-1");
        item.process_start_ms = 1;
        near.update(item, start);
        far.update(item, start);
        near.on_leaving(item.id, start);
        for (const auto& [id, process_start_ms] : near.recently_leaving(start)) {
            far.on_peer_saw_leaving(upstream_id(id), process_start_ms);
        }
        CPPUNIT_ASSERT(!is_open(far, "i-1", start));
        // It passes on only what it was told by the upstream itself.
        CPPUNIT_ASSERT(far.recently_leaving(start).empty());
        CPPUNIT_ASSERT(near.recently_leaving(start + std::chrono::seconds(10)).empty());
        item.process_start_ms = 2;
        far.update(item, start);
        far.on_peer_saw_leaving(item.id, 1);
        CPPUNIT_ASSERT(is_open(far, "i-1", start));
    }

    void overloaded_upstream_is_closed_as_long_as_it_asked()
    {
        upstream_table table;
        const upstream_id id("i-1");
        table.update(entry("i-1"), start);
        table.on_overloaded(id, milliseconds(2000), start);
        table.on_overloaded(id, milliseconds(300), start + milliseconds(100));
        CPPUNIT_ASSERT(!is_open(table, "i-1", start + milliseconds(1999)));
        CPPUNIT_ASSERT(upstream_table::is_serving(*table.find(id), start + milliseconds(1999)));
        CPPUNIT_ASSERT(is_open(table, "i-1", start + milliseconds(2000)));
    }

    // The copy still lists an upstream that crashed after it was taken. Its entry expires again
    // unless the upstream lives.
    void entry_back_from_an_old_copy_is_not_trusted()
    {
        upstream_table table;
        auto gone = entry("i-1", "10.0.0.1");
        gone.process_start_ms = 1;
        auto forgotten = entry("i-2", "10.0.0.2");
        forgotten.process_start_ms = 1;
        table.replace({gone, forgotten}, start);
        table.remove(forgotten.id, start);
        table.on_tick(start + std::chrono::seconds(1));
        table.on_call_sent(gone.id, "", 0);
        table.remove(gone.id, start);
        const auto restored = start + std::chrono::seconds(2);
        table.on_registry_restored(restored);
        table.replace({gone, forgotten}, restored);
        for (const auto* id : {"i-1", "i-2"}) {
            CPPUNIT_ASSERT(!is_open(table, id, restored + std::chrono::seconds(5)));
            // By now it would have expired if it were not renewed.
            CPPUNIT_ASSERT(is_open(table, id, restored + std::chrono::seconds(7)));
        }
        table.remove(forgotten.id, restored + std::chrono::seconds(4));
        CPPUNIT_ASSERT(!is_open(table, "i-2", restored + std::chrono::seconds(7)));
        auto successor = entry("i-2", "10.0.0.2");
        successor.process_start_ms = 2;
        table.update(successor, restored + std::chrono::seconds(4));
        CPPUNIT_ASSERT(is_open(table, "i-2", restored + std::chrono::seconds(4)));
    }

    void entry_lost_by_a_restored_registry_is_kept_until_renewed()
    {
        upstream_table table;
        table.update(entry("i-1"), start);
        table.on_registry_restored(start);
        table.replace({}, start);
        CPPUNIT_ASSERT(is_open(table, "i-1", start + milliseconds(2000)));
        table.update(entry("i-1"), start + milliseconds(2000));
        CPPUNIT_ASSERT(is_open(table, "i-1", start + milliseconds(2000)));
        CPPUNIT_ASSERT(is_open(table, "i-1", start + milliseconds(9000)));
    }

    void version_serves_while_one_of_its_upstreams_does()
    {
        upstream_table table;
        table.update(of_version("i-1", "v1"), start);
        CPPUNIT_ASSERT(table.has_version("llm", "v1", start));
        CPPUNIT_ASSERT(!table.has_version("llm", "v2", start));
        CPPUNIT_ASSERT(!table.has_version("desk", "v1", start));
        table.remove(upstream_id("i-1"), start);
        CPPUNIT_ASSERT(!table.has_version("llm", "v1", start + milliseconds(400)));
    }

    // Guards against the version that is left being taken for the one that began a stream.
    void sole_version_is_known_after_the_lifetime_of_streams()
    {
        const auto lifetime = resume::origin_store::lifetime;
        upstream_table table;
        table.replace({of_version("i-1", "v1")}, start);
        CPPUNIT_ASSERT(!table.sole_version("llm", start + lifetime / 2));
        CPPUNIT_ASSERT(table.sole_version("llm", start + lifetime) == "v1");
        auto now = start + lifetime;
        table.replace({of_version("i-1", "v1"), of_version("i-2", "v2")}, now);
        CPPUNIT_ASSERT(!table.sole_version("llm", now));
        now += std::chrono::seconds(1);
        table.replace({of_version("i-2", "v2")}, now);
        now += std::chrono::seconds(1);
        table.on_tick(now);
        CPPUNIT_ASSERT(!table.sole_version("llm", now));
        CPPUNIT_ASSERT(table.sole_version("llm", now + lifetime) == "v2");
        now += lifetime;
        // The same process name with other software.
        table.update(of_version("i-2", "v3"), now);
        CPPUNIT_ASSERT(!table.sole_version("llm", now + lifetime / 2));
        // What served during an outage of the registry is not known.
        now += lifetime + std::chrono::seconds(1);
        CPPUNIT_ASSERT(table.sole_version("llm", now) == "v3");
        table.on_registry_lost();
        CPPUNIT_ASSERT(!table.sole_version("llm", now));
        table.on_registry_recovered(now);
        CPPUNIT_ASSERT(!table.sole_version("llm", now + lifetime / 2));
        CPPUNIT_ASSERT(table.sole_version("llm", now + lifetime) == "v3");
    }

    // Guards against a version that came and went unseen: while the store lost its history, or in
    // what a restored store has forgotten.
    void sole_version_is_unknown_after_a_gap_in_the_history()
    {
        const auto lifetime = resume::origin_store::lifetime;
        upstream_table table;
        table.replace({of_version("i-1", "v1")}, start);
        auto now = start + 2 * lifetime;
        CPPUNIT_ASSERT(table.sole_version("llm", now) == "v1");
        table.replace({of_version("i-1", "v1")}, now);
        CPPUNIT_ASSERT(!table.sole_version("llm", now + lifetime / 2));
        now += lifetime;
        CPPUNIT_ASSERT(table.sole_version("llm", now) == "v1");
        table.on_registry_restored(now);
        CPPUNIT_ASSERT(!table.sole_version("llm", now));
        now += std::chrono::seconds(1);
        table.replace({of_version("i-1", "v1")}, now);
        CPPUNIT_ASSERT(!table.sole_version("llm", now + lifetime / 2));
        now += lifetime;
        CPPUNIT_ASSERT(table.sole_version("llm", now) == "v1");
        table.on_standstill(now);
        CPPUNIT_ASSERT(!table.sole_version("llm", now + lifetime / 2));
        CPPUNIT_ASSERT(table.sole_version("llm", now + lifetime) == "v1");
        // A standstill ends no outage.
        table.on_registry_lost();
        table.on_standstill(now);
        CPPUNIT_ASSERT(!table.sole_version("llm", now + 2 * lifetime));
    }

    // Guards against an answer that left the store before a stream broke off being taken for its
    // present content.
    void registry_is_read_as_of_the_request()
    {
        upstream_table table;
        CPPUNIT_ASSERT(!table.is_registry_read_since(start));
        table.on_registry_read(start);
        CPPUNIT_ASSERT(table.is_registry_read_since(start));
        CPPUNIT_ASSERT(!table.is_registry_read_since(start + milliseconds(1)));
        table.on_registry_read(start - milliseconds(1));
        CPPUNIT_ASSERT(table.is_registry_read_since(start));
    }

    // Guards against a restarted engine that is taken for its predecessor until its entry arrives.
    void process_newer_than_its_entry_has_no_known_version()
    {
        upstream_table table;
        auto listed = of_version("i-1", "v1");
        table.update(listed, start);
        engine_status status;
        status.engine = listed.address.str();
        status.sidecar_start = 1;
        status.sequence = 1;
        status.models = {"base"};
        const auto software = [&] {
            return upstream_table::software_of(*table.find(upstream_id("i-1")));
        };
        table.on_engine_status(status, start);
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), software());
        status.process_start_ms = listed.process_start_ms;
        ++status.sequence;
        table.on_engine_status(status, start);
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), software());
        ++status.process_start_ms;
        ++status.sequence;
        table.on_engine_status(status, start);
        CPPUNIT_ASSERT_EQUAL(std::string(), software());
        // Its sidecar has lost it: what runs there next is not known.
        auto lost = status;
        lost.process_start_ms = 0;
        lost.models.clear();
        ++lost.sequence;
        table.on_engine_status(lost, start);
        CPPUNIT_ASSERT_EQUAL(std::string(), software());
        status.sequence += 2;
        table.on_engine_status(status, start);
        listed.process_start_ms = status.process_start_ms;
        listed.software = "v2";
        table.update(listed, start);
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), software());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_upstream_table_test);

} // namespace snipespar::gateway
