#include "process/support/gateway_fleet.h"
#include "process/support/wait_until.h"
#include "resume/origin_store.h"
#include "support/sse_stream.h"

#include <algorithm>
#include <chrono>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <fmt/format.h>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace snipespar::testing {

namespace {

using std::chrono::milliseconds;

constexpr int events = 80;
// Streams pause after this event, until the test has broken them off.
constexpr int first_part = 3;
constexpr int stream_count = 16;
// Shorter than the time for which a stream waits for an upstream that may come back.
constexpr milliseconds immediate{1500};

/// What a caller has received of one stream, over all its attempts.
struct received_stream {
    std::string id;
    /// Number and software version of each event.
    std::vector<std::pair<int, std::string>> events;
    bool is_complete = false;

    /// Software versions of its events.
    std::set<std::string> versions() const
    {
        std::set<std::string> found;
        for (const auto& [number, software] : events) {
            found.insert(software);
        }
        return found;
    }

    bool is_in_order() const
    {
        for (std::size_t i = 0; i < events.size(); ++i) {
            if (events[i].first != static_cast<int>(i) + 1) {
                return false;
            }
        }
        return true;
    }
};

/// An open stream and what has been received of it.
struct open_stream {
    received_stream received;
    sse_stream connection;
};

/// Gaps in what a gateway has followed of the registry, as its log reports them. After each, it
/// cannot know for the lifetime of a stream that one version alone has served. On a busy machine
/// there are some.
class registry_gaps {
public:
    explicit registry_gaps(const fleet_member& gateway) : gateway_(gateway) { update(); }

    /// Whether the log has reported another gap since the last call.
    bool update()
    {
        const auto output = gateway_.process->output();
        std::size_t count = 0;
        for (const std::string_view mark :
             {"event=resumed_after_standstill", "event=platform_lost kind=servers",
              "event=platform_reached kind=servers", "event=upstreams_listed"}) {
            for (auto at = output.find(mark); at != std::string::npos;
                 at = output.find(mark, at + mark.size())) {
                ++count;
            }
        }
        if (count == count_) {
            return false;
        }
        count_ = count;
        last_seen_ = std::chrono::steady_clock::now();
        return true;
    }

    /// Waits until the last gap is longer ago than the lifetime of a stream.
    bool wait_until_followed()
    {
        constexpr auto needed = resume::origin_store::lifetime + std::chrono::seconds(2);
        constexpr std::chrono::minutes limit{10};
        return wait_until(
            [&] {
                update();
                return std::chrono::steady_clock::now() - last_seen_ > needed;
            },
            limit);
    }

private:
    const fleet_member& gateway_;
    std::size_t count_ = 0;
    std::chrono::steady_clock::time_point last_seen_ = std::chrono::steady_clock::now();
};

void add_event(received_stream& stream, const std::string& data)
{
    const auto number = data.find(' ') + 1;
    const auto software = data.find(' ', number) + 1;
    stream.events.emplace_back(std::stoi(data.substr(number)), data.substr(software));
}

// Reads up to `count` events, all that come by default.
void read_events(open_stream& stream, int count = 1 + events)
{
    for (int i = 0; i < count; ++i) {
        const auto event = stream.connection.next();
        if (!event.ok() || !*event) {
            stream.received.is_complete = event.ok();
            return;
        }
        add_event(stream.received, **event);
    }
}

} // namespace

/// Engines of several software versions side by side: what one has begun only its own version
/// continues, in one answer and over the tries of a caller.
class gateway_software_versions_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_software_versions_test);
    CPPUNIT_TEST(stream_of_a_lost_engine_moves_to_its_own_version_only);
    CPPUNIT_TEST(stream_whose_version_has_no_servers_left_ends_at_once);
    CPPUNIT_TEST(stream_is_taken_up_at_its_version_after_all_gateways_were_killed);
    CPPUNIT_TEST(stream_is_taken_up_at_its_version_at_another_gateway);
    CPPUNIT_TEST(take_up_of_a_version_without_servers_is_refused_at_once);
    CPPUNIT_TEST(take_up_of_an_unknown_stream_is_refused_and_has_not_run);
    CPPUNIT_TEST(restart_under_the_same_name_with_other_software_is_told_apart);
    CPPUNIT_TEST(sole_version_is_used_only_while_the_registry_is_read);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a stream that moves to an engine of another software version.
    void stream_of_a_lost_engine_moves_to_its_own_version_only()
    {
        gateway_fleet fleet({.gateways = 2, .engines = 4, .services = 0, .software = versions});
        auto streams = open_streams(fleet);
        fleet.engines[0].process->kill();
        fleet.engines[2].process->kill();
        int complete = 0;
        for (auto& stream : streams) {
            read_events(stream);
            complete += stream.received.is_complete ? 1 : 0;
        }
        check(streams);
        CPPUNIT_ASSERT_EQUAL(stream_count, complete);
    }

    // Guards against a stream that goes on at another version, or waits, when its own is gone.
    void stream_whose_version_has_no_servers_left_ends_at_once()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 4, .services = 0, .software = versions});
        auto streams = open_streams(fleet);
        withdraw_old_version(fleet);
        for (const int engine : {0, 1}) {
            fleet.engines[engine].process->kill();
        }
        const auto began = std::chrono::steady_clock::now();
        for (auto& stream : streams) {
            if (stream.received.versions().contains("v1")) {
                read_events(stream);
                CPPUNIT_ASSERT(!stream.received.is_complete);
            }
        }
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - began < immediate);
        check(streams);
    }

    // Guards against a take-up at a gateway that does not know which version began the stream.
    void stream_is_taken_up_at_its_version_after_all_gateways_were_killed()
    {
        gateway_fleet fleet({.gateways = 2, .engines = 4, .services = 0, .software = versions});
        auto streams = open_streams(fleet);
        for (auto& gateway : fleet.gateways) {
            gateway.process->signal(SIGKILL);
        }
        for (auto& gateway : fleet.gateways) {
            gateway.process->kill();
            gateway.restart();
        }
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        take_up_all(fleet, streams);
    }

    // Guards against a take-up at a gateway that has seen nothing of the stream. The gateway that
    // began it is only silent.
    void stream_is_taken_up_at_its_version_at_another_gateway()
    {
        gateway_fleet fleet({.gateways = 2, .engines = 4, .services = 0, .software = versions});
        auto streams = open_streams(fleet);
        take_up_all(fleet, streams);
    }

    // Guards against a take-up that goes on at another version when its own has left.
    void take_up_of_a_version_without_servers_is_refused_at_once()
    {
        gateway_fleet fleet({.gateways = 2, .engines = 4, .services = 0, .software = versions});
        auto streams = open_streams(fleet);
        withdraw_old_version(fleet);
        for (std::size_t i = 0; i < streams.size(); ++i) {
            const auto& stream = streams[i].received;
            if (!stream.versions().contains("v1")) {
                continue;
            }
            const auto began = std::chrono::steady_clock::now();
            const auto id = stream.id + "-again";
            const auto refused = send(fleet, i + 1, take_up_call(fleet, stream, id));
            CPPUNIT_ASSERT_EQUAL(503U, refused.status);
            CPPUNIT_ASSERT(std::chrono::steady_clock::now() - began < immediate);
            check_not_run(fleet, id);
        }
    }

    // Guards against a guess for a stream that nobody remembers, as for an invented name.
    void take_up_of_an_unknown_stream_is_refused_and_has_not_run()
    {
        gateway_fleet fleet({.gateways = 2, .engines = 4, .services = 0, .software = versions});
        open_streams(fleet);
        for (std::size_t i = 0; i < 2 * fleet.gateways.size(); ++i) {
            const auto id = fmt::format("invented-{}", i);
            auto call = fleet.make_call("/stream/slow/", id);
            call.headers["Model"] = "base";
            call.headers["Last-Event-Id"] = "3";
            call.headers["Resumes"] = "never-sent";
            if (i % 2 == 1) {
                call.headers.erase("Resumes");
            }
            CPPUNIT_ASSERT_EQUAL(503U, send(fleet, i, call).status);
            check_not_run(fleet, id);
        }
    }

    // Guards against an engine that is taken for its predecessor: same name and address.
    void restart_under_the_same_name_with_other_software_is_told_apart()
    {
        gateway_fleet fleet({.gateways = 2,
                             .engines = 2,
                             .services = 0,
                             .states_process_start = true,
                             .software = {"v1", "v1"}});
        auto streams = open_streams(fleet);
        for (auto& engine : fleet.engines) {
            engine.process->kill();
            engine.software = "v2";
            engine.start.arguments.back() = engine.software;
            engine.start.arguments.emplace_back("empty");
            engine.restart();
            engine.process->wait_for_output("listening");
        }
        // The engines are ready; the gateways still know the old entries.
        std::this_thread::sleep_for(milliseconds(1000));
        take_up_none(fleet, streams);
        for (const auto& engine : fleet.engines) {
            CPPUNIT_ASSERT(fleet.announce(engine, "llm", false));
        }
        for (auto& stream : streams) {
            read_events(stream);
            CPPUNIT_ASSERT_MESSAGE(
                fmt::format(
                    "{} has {} events of {} versions\n{}{}{}{}", stream.received.id,
                    stream.received.events.size(), stream.received.versions().size(),
                    fleet.gateways[0].process->output(), fleet.gateways[1].process->output(),
                    fleet.sidecars[0].process->output(), fleet.sidecars[1].process->output()),
                !stream.received.is_complete);
        }
        check(streams);
        take_up_none(fleet, streams);
    }

    // Guards against the only version that a gateway has heard of being taken for the only one: cut
    // off from the store, the gateway has not noticed it yet.
    void sole_version_is_used_only_while_the_registry_is_read()
    {
        gateway_fleet fleet({.gateways = 1,
                             .engines = 2,
                             .services = 0,
                             .has_store_relay = true,
                             .software = {"v1", "v1"}});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        const auto take_up = [&](const std::string& id) {
            auto call = fleet.make_call("/stream/", id);
            call.headers["Model"] = "base";
            call.headers["Last-Event-Id"] = "3";
            call.headers["Resumes"] = "begun-elsewhere";
            return send(fleet, 0, call).status;
        };
        // Each is served, unless another gap has come meanwhile.
        constexpr int take_ups = 3;
        constexpr int most_tries = 10;
        registry_gaps gaps(fleet.gateways[0]);
        int taken_up = 0;
        for (int i = 0; i < most_tries && taken_up < take_ups; ++i) {
            CPPUNIT_ASSERT(gaps.wait_until_followed());
            const auto id = fmt::format("followed-{}", i);
            const auto status = take_up(id);
            if (status == 200) {
                ++taken_up;
                continue;
            }
            CPPUNIT_ASSERT_EQUAL(503U, status);
            // With this line, all before it have been read.
            CPPUNIT_ASSERT(fleet.gateways[0].process->wait_for_output("request=" + id));
            CPPUNIT_ASSERT_MESSAGE(fleet.gateways[0].process->output(), gaps.update());
        }
        CPPUNIT_ASSERT_EQUAL(take_ups, taken_up);
        fleet.store_relay->set_towards_target(relay_mode::drop);
        fleet.store_relay->set_from_target(relay_mode::drop);
        CPPUNIT_ASSERT_EQUAL(503U, take_up("cut-off"));
        check_not_run(fleet, "cut-off");
    }

private:
    static inline const std::vector<std::string> versions{"v1", "v1", "v2", "v2"};

    // Opens streams at the gateways in turn, on engines of each version, and reads their first
    // part.
    static std::vector<open_stream> open_streams(gateway_fleet& fleet)
    {
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        for (const auto& engine : fleet.engines) {
            const auto reply =
                send_call(engine.address, {"POST", "/faults", {}, R"({"pause_ms": 5000})"});
            CPPUNIT_ASSERT(reply.ok() && reply->status == 200);
        }
        std::vector<open_stream> streams;
        for (int i = 0; i < stream_count; ++i) {
            const auto id = fmt::format("s{}", i);
            auto call = fleet.make_call("/stream/slow/", id);
            call.headers["Model"] = "base";
            const auto& gateway =
                fleet.gateways[static_cast<std::size_t>(i) % fleet.gateways.size()];
            auto opened = sse_stream::open(gateway.address, call);
            CPPUNIT_ASSERT(opened.ok());
            CPPUNIT_ASSERT_EQUAL(200U, opened->status());
            streams.push_back({{id, {}, false}, *std::move(opened)});
        }
        std::set<std::string> seen;
        for (auto& stream : streams) {
            read_events(stream, first_part);
            CPPUNIT_ASSERT_EQUAL(std::size_t{first_part}, stream.received.events.size());
            seen.merge(stream.received.versions());
        }
        const std::set<std::string> expected = [&] {
            std::set<std::string> all;
            for (const auto& engine : fleet.engines) {
                all.insert(engine.software);
            }
            return all;
        }();
        CPPUNIT_ASSERT(seen == expected);
        return streams;
    }

    static void check(const std::vector<open_stream>& streams)
    {
        for (const auto& stream : streams) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stream.received.versions().size());
            CPPUNIT_ASSERT(stream.received.is_in_order());
        }
    }

    static http_call take_up_call(const gateway_fleet& fleet, const received_stream& stream,
                                  const std::string& id)
    {
        auto call = fleet.make_call("/stream/slow/", id);
        call.headers["Model"] = "base";
        call.headers["Last-Event-Id"] = fmt::format("{}", stream.events.size());
        call.headers["Resumes"] = stream.id;
        return call;
    }

    // Takes the stream up at the gateway, unless that refuses it.
    static void take_up(const gateway_fleet& fleet, std::size_t gateway, received_stream& stream,
                        std::vector<open_stream>& resumed)
    {
        const auto call = take_up_call(fleet, stream, stream.id + "-again");
        auto opened =
            sse_stream::open(fleet.gateways[gateway % fleet.gateways.size()].address, call);
        if (opened.ok() && opened->status() == 200) {
            resumed.push_back({stream, *std::move(opened)});
        }
    }

    // The users' rules: no stream is joined from two versions, and at least half of them go on.
    static void take_up_all(const gateway_fleet& fleet, std::vector<open_stream>& streams)
    {
        std::vector<open_stream> resumed;
        // In another order, as gateways of one seed draw the same upstreams.
        for (std::size_t i = streams.size(); i-- > 0;) {
            take_up(fleet, i + 1, streams[i].received, resumed);
        }
        for (auto& stream : resumed) {
            read_events(stream);
            CPPUNIT_ASSERT(stream.received.is_complete);
            CPPUNIT_ASSERT_EQUAL(std::size_t{events}, stream.received.events.size());
        }
        check(resumed);
        CPPUNIT_ASSERT(resumed.size() >= std::size_t{stream_count} / 2);
    }

    static void take_up_none(const gateway_fleet& fleet, std::vector<open_stream>& streams)
    {
        std::vector<open_stream> resumed;
        for (std::size_t i = 0; i < streams.size(); ++i) {
            take_up(fleet, i + 1, streams[i].received, resumed);
        }
        CPPUNIT_ASSERT(resumed.empty());
    }

    static void withdraw_old_version(gateway_fleet& fleet)
    {
        for (const int engine : {0, 1}) {
            CPPUNIT_ASSERT(fleet.withdraw(fleet.engines[engine]));
        }
        for (const auto& gateway : fleet.gateways) {
            for (const int engine : {0, 1}) {
                CPPUNIT_ASSERT(gateway.process->wait_for_output("upstream_gone upstream=" +
                                                                fleet.engines[engine].id));
            }
        }
        // Entries that are missing soon after a start may come back for that long.
        std::this_thread::sleep_for(milliseconds(2500));
    }

    static http_reply send(const gateway_fleet& fleet, std::size_t number, const http_call& call)
    {
        auto reply = send_call(fleet.gateways[number % fleet.gateways.size()].address, call);
        CPPUNIT_ASSERT(reply.ok());
        return *std::move(reply);
    }

    static void check_not_run(const gateway_fleet& fleet, const std::string& id)
    {
        for (const auto& engine : fleet.engines) {
            CPPUNIT_ASSERT(fleet.runs(engine).dump().find('"' + id + '"') == std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_software_versions_test);

} // namespace snipespar::testing
