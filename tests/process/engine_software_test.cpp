#include "process/support/fleet.h"
#include "process/support/wait_until.h"
#include "support/http_probe.h"
#include "support/sse_stream.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace snipespar::testing {

namespace {

constexpr const char* north_key = "trial-north";
constexpr int tokens = 150;
constexpr int first_part = 5;
constexpr int stream_count = 8;

/// A stream that is being read, and the software versions of its tokens so far.
struct token_stream {
    sse_stream connection;
    std::set<std::string> versions;
    int received = 0;

    // Reads up to `count` tokens; false if the stream ended or broke off before.
    bool read(int count)
    {
        for (int i = 0; i < count; ++i) {
            const auto event = connection.next();
            if (!event.ok() || !event->has_value()) {
                return false;
            }
            const auto json = nlohmann::json::parse(**event, nullptr, false);
            if (!json.contains("token_index")) {
                return false;
            }
            CPPUNIT_ASSERT_EQUAL(received, json["token_index"].get<int>());
            ++received;
            const auto text = json.at("choices").at(0).at("text").get<std::string>();
            versions.insert(text.substr(text.size() - 2));
        }
        return true;
    }
};

} // namespace

/// Engines of two software versions behind real agents and an entry.
class engine_software_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(engine_software_test);
    CPPUNIT_TEST(stream_goes_on_only_at_the_software_that_began_it);
    CPPUNIT_TEST(stream_ends_if_no_engine_of_its_software_is_left);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a stream that an engine with other software continues.
    void stream_goes_on_only_at_the_software_that_began_it()
    {
        fleet test(options({"v1", "v2", "v1", "v2", "v1", "v2"}));
        auto streams = open_streams(test);
        kill_busy_engine(test);
        int complete = 0;
        for (auto& stream : streams) {
            complete += stream.read(tokens - first_part) ? 1 : 0;
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stream.versions.size());
        }
        CPPUNIT_ASSERT_EQUAL(stream_count, complete);
    }

    void stream_ends_if_no_engine_of_its_software_is_left()
    {
        fleet test(options({"v1", "v2"}));
        auto streams = open_streams(test);
        kill_busy_engine(test);
        int complete = 0;
        for (auto& stream : streams) {
            complete += stream.read(tokens - first_part) ? 1 : 0;
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stream.versions.size());
        }
        CPPUNIT_ASSERT(complete < stream_count);
    }

private:
    static fleet_options options(const std::vector<std::string>& software)
    {
        fleet_options result;
        result.engines = software.size();
        result.engine_arguments = {"--token-us=10000", "--max-running=64"};
        result.engine_software = software;
        return result;
    }

    static std::vector<token_stream> open_streams(fleet& test)
    {
        CPPUNIT_ASSERT_MESSAGE(test.output(), test.wait_until_ready());
        std::vector<token_stream> streams;
        for (int i = 0; i < stream_count; ++i) {
            auto call = completion_call(north_key, "a1@v1", tokens, true);
            auto body = nlohmann::json::parse(call.body);
            body["prompt"] = fmt::format("prompt {}", i);
            call.body = body.dump();
            auto opened = sse_stream::open(test.entry().address, call);
            CPPUNIT_ASSERT(opened.ok());
            CPPUNIT_ASSERT_EQUAL(200U, opened->status());
            streams.push_back({*std::move(opened), {}});
        }
        for (auto& stream : streams) {
            CPPUNIT_ASSERT(stream.read(first_part));
        }
        return streams;
    }

    // Kills the engine that runs most streams.
    static void kill_busy_engine(fleet& test)
    {
        std::size_t busiest = 0;
        int most = 0;
        for (std::size_t i = 0; i < test.engines(); ++i) {
            http_call request;
            request.target = "/load";
            const auto load = send_call(test.engine(i).upstream_address, request);
            CPPUNIT_ASSERT(load.ok());
            const int running = nlohmann::json::parse(load->body).at("running").get<int>();
            if (running > most) {
                most = running;
                busiest = i;
            }
        }
        CPPUNIT_ASSERT(most > 0);
        test.engine(busiest).upstream->kill();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_software_test);

} // namespace snipespar::testing
