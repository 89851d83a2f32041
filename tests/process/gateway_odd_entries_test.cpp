#include "base/percent_coding.h"
#include "process/support/gateway_fleet.h"
#include "process/support/wait_until.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstddef>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace snipespar::testing {

namespace {

constexpr std::chrono::seconds follow_limit{6};
constexpr std::size_t deep = 100'000;

std::string object(const std::string& name, const std::string& spec)
{
    return fmt::format(R"({{"metadata":{{"name":{},"revision":1}},"spec":{},"status":null}})", name,
                       spec);
}

// An entry of an upstream with one field set to a raw text.
std::string entry_with(const std::string& field, const std::string& value)
{
    std::string spec =
        R"({"upstream":"desk","address":"127.0.3.1:9","zone":"a","version":"v1","slots":4,"state":"ready")";
    const auto known = spec.find('"' + field + "\":");
    if (known != std::string::npos) {
        const auto start = known + field.size() + 3;
        auto end = spec.find(",\"", start);
        end = end == std::string::npos ? spec.size() : end;
        spec.replace(start, end - start, value);
    }
    else {
        spec += fmt::format(R"(,"{}":{})", field, value);
    }
    return object("\"odd\"", spec + "}");
}

std::string repeated(const std::string& text, std::size_t count)
{
    std::string result;
    result.reserve(text.size() * count);
    for (std::size_t i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

// A JSON text with these bytes, which need not be UTF-8.
std::string quoted(const std::string& bytes)
{
    std::string text = "\"";
    for (const char byte : bytes) {
        const auto code = static_cast<unsigned char>(byte);
        if (byte == '"' || byte == '\\') {
            text += '\\';
            text += byte;
        }
        else if (code < ' ') {
            text += fmt::format("\\u{:04x}", code);
        }
        else {
            text += byte;
        }
    }
    return text + '"';
}

// Names that only another writer gives. None is that of an upstream.
std::vector<std::string> odd_names()
{
    using std::string_literals::operator""s;
    return {" ",
            "\t",
            "a b",
            "a\tb",
            "a\nb",
            "a\0b"s,
            std::string("a\x7f") + "b",
            "a&b",
            "a+b",
            "a#b",
            "a%b",
            "a%41b",
            "a/b?c=d",
            "a\"b",
            "a'b",
            "a\\b",
            "a,b",
            "a;b=c",
            "a:b",
            "a@b",
            "\xc3\xa9",
            "\xff\xfe",
            std::string(300, 'n')};
}

// A sound entry under this name.
std::string sound_entry(const std::string& name, const std::string& service,
                        const cli::endpoint& address)
{
    return object(quoted(name),
                  fmt::format(R"({{"upstream":"{}","address":"{}","zone":"a","version":"v1",)"
                              R"("slots":4,"state":"ready"}})",
                              service, address.str()));
}

bool set_paging(const gateway_fleet& fleet, const std::string& paging)
{
    const auto reply = send_call(fleet.store.address, {"POST", "/paging", {}, paging});
    return reply.ok() && reply->status == 200;
}

// Objects that another writer may leave. None names an upstream to use.
std::vector<std::pair<std::string, std::string>> odd_objects()
{
    const auto deep_array = std::string(deep, '[') + std::string(deep, ']');
    const auto deep_object = repeated("{\"a\":", deep) + "1" + std::string(deep, '}');
    return {
        {"deep array", entry_with("x", deep_array)},
        {"deep object", entry_with("x", deep_object)},
        {"deep spec", object("\"odd\"", deep_array)},
        {"deep name", object(deep_array, "{}")},
        {"deep item", deep_array},
        {"large number", entry_with("slots", "1e400")},
        {"large number elsewhere", entry_with("x", "-1e999")},
        {"many digits", entry_with("born", std::string(400, '9'))},
        {"negative", entry_with("slots", "-1")},
        {"port out of range", entry_with("address", "\"127.0.3.1:65536\"")},
        {"port of many digits", entry_with("address", "\"127.0.3.1:99999999999999999999\"")},
        {"port zero", entry_with("address", "\"127.0.3.1:0\"")},
        {"no address", entry_with("address", "\"nowhere\"")},
        {"number as address", entry_with("address", "5")},
        {"zone not UTF-8", entry_with("zone", "\"\xff\xfe\"")},
        {"lone surrogate", entry_with("zone", "\"\\ud800\"")},
        {"control character", entry_with("zone", "\"a\\u0000b\"")},
        {"long zone", entry_with("zone", '"' + std::string(100'000, 'z') + '"')},
        {"unknown state", entry_with("state", "\"dancing\"")},
        {"name is a number", object("7", "{}")},
        {"name is null", object("null", "{}")},
        {"name not UTF-8", object("\"\xff\"", "{}")},
        {"no metadata", R"({"spec":{}})"},
        {"metadata is a text", R"({"metadata":"odd","spec":{}})"},
        {"spec is a text", object("\"odd\"", "\"x\"")},
        {"number", "7"},
        {"null", "null"},
        {"syntax error", R"({"metadata":{"name":"odd"},"spec":{"a":}})"},
    };
}

bool put_raw(const gateway_fleet& fleet, const std::string& kind, const std::string& name,
             const std::string& text)
{
    const auto target = fmt::format("/raw/{}/{}", kind, percent_encode(name));
    const auto reply = send_call(fleet.store.address, {"PUT", target, {}, text});
    return reply.ok() && reply->status == 200;
}

nlohmann::json status_of(const fleet_member& gateway)
{
    const auto reply = send_call(gateway.admin, {"GET", "/status", {}, {}});
    return reply.ok() && reply->status == 200 ? nlohmann::json::parse(reply->body)
                                              : nlohmann::json{{"upstreams", {}}, {"config", 0}};
}

// Whether the gateway knows exactly the upstreams of the fleet, this one as draining or not.
bool knows(const fleet_member& gateway, std::size_t upstreams, const std::string& id,
           bool is_draining)
{
    const auto status = status_of(gateway);
    bool is_found = false;
    for (const auto& item : status["upstreams"]) {
        is_found = is_found || (item["id"] == id && item["draining"] == is_draining);
    }
    return is_found && status["upstreams"].size() == upstreams;
}

bool is_draining(const fleet_member& gateway, const std::string& id)
{
    const auto status = status_of(gateway);
    bool draining = false;
    for (const auto& item : status["upstreams"]) {
        draining = draining || (item["id"] == id && item["draining"] == true);
    }
    return draining;
}

} // namespace

/// Objects of the store that no one can read, beside sound ones.
class gateway_odd_entries_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_odd_entries_test);
    CPPUNIT_TEST(upstreams_are_followed_beside_an_odd_entry);
    CPPUNIT_TEST(gateway_starts_beside_odd_entries);
    CPPUNIT_TEST(configuration_is_followed_beside_an_odd_one);
    CPPUNIT_TEST(configuration_is_followed_beside_one_that_is_not_the_operators);
    CPPUNIT_TEST(adapter_versions_are_followed_beside_an_odd_one);
    CPPUNIT_TEST(list_continues_behind_odd_names);
    CPPUNIT_TEST(entry_under_an_odd_name_is_no_upstream);
    CPPUNIT_TEST(list_that_does_not_lead_on_is_used_as_far_as_it_was_read);
    CPPUNIT_TEST(list_that_leads_back_is_not_read_without_end);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against gateways that end, or follow no entry, because of one entry in an event.
    void upstreams_are_followed_beside_an_odd_entry()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 2});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        const auto& gateway = fleet.gateways.front();
        bool is_draining = false;
        for (const auto& [name, text] : odd_objects()) {
            CPPUNIT_ASSERT(put_raw(fleet, "servers", "odd", text));
            is_draining = !is_draining;
            CPPUNIT_ASSERT(fleet.announce(fleet.services[0], "desk", is_draining));
            CPPUNIT_ASSERT_MESSAGE(
                name + "\n" + gateway.process->output(),
                wait_until([&] { return knows(gateway, 2, fleet.services[0].id, is_draining); },
                           follow_limit));
            CPPUNIT_ASSERT_MESSAGE(name, gateway.process->running());
        }
    }

    // Guards against gateways that never become ready, or end at each start.
    void gateway_starts_beside_odd_entries()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 2});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        // Each entry has a name of its own in the store and sorts before, between or after others.
        int number = 0;
        for (const auto& [name, text] : odd_objects()) {
            CPPUNIT_ASSERT(put_raw(fleet, "servers", fmt::format("h-{}", number), text));
            ++number;
        }
        auto& gateway = fleet.gateways.front();
        gateway.process->kill();
        gateway.restart();
        CPPUNIT_ASSERT_MESSAGE(
            gateway.process->output(),
            wait_until([&] { return knows(gateway, 2, fleet.services[0].id, false); },
                       follow_limit));
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        CPPUNIT_ASSERT_EQUAL(200U,
                             send_call(gateway.address, fleet.make_call("/safe/x", "r1"))->status);
        CPPUNIT_ASSERT(gateway.process->output().find("event=object_unreadable") !=
                       std::string::npos);
    }

    // Guards against gateways that follow no configuration any more.
    void configuration_is_followed_beside_an_odd_one()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 1});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        auto& gateway = fleet.gateways.front();
        for (const auto& [name, text] : odd_objects()) {
            CPPUNIT_ASSERT(put_raw(fleet, "config", "odd", text));
            std::uint64_t version = 0;
            CPPUNIT_ASSERT(fleet.change_config(
                [&](auto& config) { version = config["version"].template get<std::uint64_t>(); }));
            CPPUNIT_ASSERT_MESSAGE(
                name + "\n" + gateway.process->output(),
                wait_until([&] { return status_of(gateway)["config"] == version; }, follow_limit));
        }
        gateway.process->kill();
        gateway.restart();
        CPPUNIT_ASSERT(fleet.wait_until_ready());
    }

    // Guards against a configuration of another writer, with the largest version and without
    // teams, that hides all later ones and admits calls without a key.
    void configuration_is_followed_beside_one_that_is_not_the_operators()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 1});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        const auto& gateway = fleet.gateways.front();
        CPPUNIT_ASSERT(put_raw(
            fleet, "config", "other",
            object("\"other\"", R"({"version":18446744073709551615,"routes":[],"upstreams":[]})")));
        CPPUNIT_ASSERT(fleet.add_routes(1));
        CPPUNIT_ASSERT(
            wait_until([&] { return fleet.config_version_of(gateway) == fleet.config_version(); },
                       follow_limit));
        auto call = fleet.make_call("/safe/x", "no-key");
        call.headers.erase("Authorization");
        const auto reply = send_call(gateway.address, call);
        CPPUNIT_ASSERT(reply.ok());
        CPPUNIT_ASSERT_EQUAL(401U, reply->status);
    }

    void adapter_versions_are_followed_beside_an_odd_one()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 1});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        const auto& gateway = fleet.gateways.front();
        int version = 0;
        for (const auto& [name, text] : odd_objects()) {
            CPPUNIT_ASSERT(put_raw(fleet, "versions", "odd", text));
            ++version;
            CPPUNIT_ASSERT(put_raw(
                fleet, "versions", "base.a1",
                object("\"base.a1\"",
                       fmt::format(R"({{"model":"base","adapter":"a1","version":{}}})", version))));
            CPPUNIT_ASSERT_MESSAGE(
                name + "\n" + gateway.process->output(),
                gateway.process->wait_for_output(
                    fmt::format("event=version_announced model=base adapter=a1 version={}\n",
                                version),
                    follow_limit));
        }
    }

    // Guards against gateways that know no upstream, or forget those that they know, because of an
    // object without any name.
    void list_that_does_not_lead_on_is_used_as_far_as_it_was_read()
    {
        gateway_fleet fleet({.gateways = 2, .engines = 0, .services = 3});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        CPPUNIT_ASSERT(put_raw(fleet, "servers", "i-0x", "7"));
        CPPUNIT_ASSERT(set_paging(fleet, R"({"size":1})"));
        const auto& running = fleet.gateways[0];
        auto& restarted = fleet.gateways[1];
        restarted.process->kill();
        restarted.restart();
        const auto reply = send_call(fleet.store.address, {"DELETE", "/history", {}, {}});
        CPPUNIT_ASSERT(reply.ok() && reply->status == 200);
        for (const auto* gateway : {&running, static_cast<const fleet_member*>(&restarted)}) {
            CPPUNIT_ASSERT_MESSAGE(
                gateway->process->output(),
                gateway->process->wait_for_output("event=list_cut kind=servers", follow_limit));
        }
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        CPPUNIT_ASSERT(knows(restarted, 1, fleet.services[0].id, false));
        CPPUNIT_ASSERT(knows(running, 3, fleet.services[2].id, false));
        for (int i = 0; i < 10; ++i) {
            CPPUNIT_ASSERT_EQUAL(200U, send_call(restarted.address,
                                                 fleet.make_call("/safe/x", fmt::format("r{}", i)))
                                           ->status);
        }
        // Changes are followed meanwhile, and the rest is listed soon after the object is gone.
        CPPUNIT_ASSERT(fleet.announce(fleet.services[1], "desk", true));
        for (const auto& [gateway, known] :
             {std::pair(&running, 3U),
              std::pair(static_cast<const fleet_member*>(&restarted), 2U)}) {
            CPPUNIT_ASSERT(wait_until(
                [&] { return knows(*gateway, known, fleet.services[1].id, true); }, follow_limit));
        }
        CPPUNIT_ASSERT(put_raw(fleet, "servers", "i-0x", ""));
        CPPUNIT_ASSERT_MESSAGE(
            restarted.process->output(),
            wait_until([&] { return knows(restarted, 3, fleet.services[2].id, false); },
                       std::chrono::seconds(15)));
    }

    // Guards against a store that is asked for the same pages without a pause, and their objects
    // that are kept.
    void list_that_leads_back_is_not_read_without_end()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 3});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        // The store states a name that it does not have.
        CPPUNIT_ASSERT(put_raw(fleet, "servers", "i-0x", object("\"i-0 x\"", "{}")));
        CPPUNIT_ASSERT(set_paging(fleet, R"({"size":1,"begins_anew":true})"));
        auto& gateway = fleet.gateways.front();
        gateway.process->kill();
        gateway.restart();
        const auto pages = [&] {
            const auto reply = send_call(fleet.store.address, {"POST", "/paging", {}, "{}"});
            CPPUNIT_ASSERT(reply.ok() && reply->status == 200);
            return nlohmann::json::parse(reply->body)["pages"]["servers"].get<int>();
        };
        const int before = pages();
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        std::this_thread::sleep_for(std::chrono::seconds(3));
        CPPUNIT_ASSERT_EQUAL(200U,
                             send_call(gateway.address, fleet.make_call("/safe/x", "r1"))->status);
        const int asked_for = pages() - before;
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} pages", asked_for), asked_for <= 30);
    }

    // Guards against calls that are sent to a process that no upstream has announced.
    void entry_under_an_odd_name_is_no_upstream()
    {
        gateway_fleet fleet({.gateways = 1, .engines = 0, .services = 2});
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        auto& gateway = fleet.gateways.front();
        // Runs what is sent to it under the name that is announced last.
        auto& other = fleet.services[1];
        CPPUNIT_ASSERT(fleet.withdraw(other));
        other.process->kill();
        other.start.arguments.back() = "a&b";
        other.restart();
        CPPUNIT_ASSERT(other.process->wait_for_output("listening"));
        auto names = odd_names();
        names.emplace_back("a&b");
        for (const auto& name : names) {
            CPPUNIT_ASSERT(
                put_raw(fleet, "servers", name, sound_entry(name, "desk", other.address)));
        }
        const auto check = [&](const std::string& source) {
            for (int i = 0; i < 30; ++i) {
                const auto id = fmt::format("{}-{}", source, i);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    gateway.process->output(), 200U,
                    send_call(gateway.address, fleet.make_call("/safe/x", id))->status);
            }
            const auto runs = fleet.runs(other)["runs"].size();
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{}: {} of 30 went there", source, runs), runs == 0);
            CPPUNIT_ASSERT_MESSAGE(
                source + "\n" + status_of(gateway).dump(),
                wait_until([&] { return knows(gateway, 1, fleet.services[0].id, false); },
                           follow_limit));
        };
        // A change that comes after them shows that they were read.
        const auto follows = [&] {
            CPPUNIT_ASSERT(fleet.announce(fleet.services[0], "desk", true));
            CPPUNIT_ASSERT_MESSAGE(
                gateway.process->output(),
                wait_until([&] { return is_draining(gateway, fleet.services[0].id); },
                           follow_limit));
            CPPUNIT_ASSERT(fleet.announce(fleet.services[0], "desk", false));
            CPPUNIT_ASSERT_MESSAGE(
                gateway.process->output(),
                wait_until([&] { return !is_draining(gateway, fleet.services[0].id); },
                           follow_limit));
        };
        follows();
        check("watch");
        CPPUNIT_ASSERT_MESSAGE(
            gateway.process->output(),
            gateway.process->wait_for_output("cause=\"servers/a&b: the name is", follow_limit));
        gateway.process->kill();
        gateway.restart();
        CPPUNIT_ASSERT(fleet.wait_until_ready());
        follows();
        check("list");
        CPPUNIT_ASSERT_MESSAGE(
            gateway.process->output(),
            gateway.process->wait_for_output("cause=\"servers/a&b: the name is", follow_limit));
    }

    // Guards against gateways that ask for the same page again and again, and know no object of a
    // kind, because the last object of a page has a name that is not fit for use.
    void list_continues_behind_odd_names()
    {
        for (const std::size_t page_size : {1U, 2U, 7U}) {
            gateway_fleet fleet({.gateways = 1,
                                 .engines = 0,
                                 .services = 3,
                                 .gateway_arguments = {"--evacuation-bound=3000ms"}});
            CPPUNIT_ASSERT(fleet.wait_until_ready());
            for (const auto& name : odd_names()) {
                // Before, between and behind the sound ones.
                for (const std::string prefix : {"", "i-0", "i-1", "j"}) {
                    const auto text = object(quoted(prefix + name), "{}");
                    CPPUNIT_ASSERT(put_raw(fleet, "servers", prefix + name, text));
                }
                for (const std::string kind : {"config", "versions", "evacuations"}) {
                    CPPUNIT_ASSERT(put_raw(fleet, kind, name, object(quoted(name), "{}")));
                }
            }
            CPPUNIT_ASSERT(
                put_raw(fleet, "versions", "zbase.a1",
                        object("\"zbase.a1\"", R"({"model":"zbase","adapter":"a1","version":7})")));
            CPPUNIT_ASSERT(put_raw(fleet, "evacuations", "zone", object("\"zone\"", "{}")));
            CPPUNIT_ASSERT(set_paging(fleet, fmt::format(R"({{"size":{}}})", page_size)));
            auto& gateway = fleet.gateways.front();
            gateway.process->kill();
            gateway.restart();
            const auto told = [&] {
                return fmt::format("pages of {}\n{}", page_size, gateway.process->output());
            };
            CPPUNIT_ASSERT_MESSAGE(
                told(), wait_until([&] { return knows(gateway, 3, fleet.services[2].id, false); },
                                   follow_limit));
            CPPUNIT_ASSERT_MESSAGE(told(), fleet.wait_until_ready());
            CPPUNIT_ASSERT_EQUAL(
                200U, send_call(gateway.address, fleet.make_call("/safe/x", "r1"))->status);
            CPPUNIT_ASSERT_MESSAGE(
                told(),
                gateway.process->wait_for_output(
                    "event=version_announced model=zbase adapter=a1 version=7\n", follow_limit));
            CPPUNIT_ASSERT_MESSAGE(
                told(), gateway.process->wait_for_output(
                            "event=domain_evacuated failure_domain=zone\n", follow_limit));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_odd_entries_test);

} // namespace snipespar::testing
