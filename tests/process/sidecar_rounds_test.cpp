#include "control/message.h"
#include "process/support/gateway_fleet.h"
#include "process/support/wait_until.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <variant>

namespace snipespar::testing {

namespace {

namespace asio = boost::asio;

// What a gateway sends to a sidecar while a call waits for the adapter, or for the model if it has
// no name.
std::string demand_for(const std::string& adapter, const std::string& upstream = "i-0")
{
    return control::encode(control::adapter_demand{.gateway = "front-0",
                                                   .gateway_start = 1,
                                                   .upstream = upstream,
                                                   .upstream_start_ms = 0,
                                                   .adapter_slots = 4,
                                                   .models = {"base"},
                                                   .uses = {{"base", adapter, 1, 0}},
                                                   .versions = {}});
}

void send_demand(const fleet_member& sidecar, const std::string& adapter,
                 const std::string& upstream = "i-0")
{
    asio::io_context context;
    asio::ip::udp::socket socket(context, asio::ip::udp::v4());
    socket.send_to(asio::buffer(demand_for(adapter, upstream)),
                   {asio::ip::make_address(sidecar.address.ip), sidecar.address.port});
}

// A gateway that only listens.
class listening_gateway {
public:
    explicit listening_gateway(const fleet_member& sidecar)
        : socket_(context_, asio::ip::udp::v4()),
          sidecar_(asio::ip::make_address(sidecar.address.ip), sidecar.address.port)
    {
        socket_.non_blocking(true);
    }

    /// The next report that satisfies `accepts`, while the demand is repeated.
    template <class Accepts>
    std::optional<gateway::engine_status> wait_for_report(Accepts accepts)
    {
        std::optional<gateway::engine_status> found;
        wait_until([&] {
            socket_.send_to(asio::buffer(demand_for("")), sidecar_);
            boost::system::error_code error;
            while (!found) {
                const auto size = socket_.receive(asio::buffer(buffer_), 0, error);
                if (error) {
                    break;
                }
                const auto content = control::decode({buffer_.data(), size});
                const auto* report =
                    content.ok() ? std::get_if<control::sidecar_report>(&*content) : nullptr;
                if (report != nullptr && accepts(report->status)) {
                    found = report->status;
                }
            }
            return found.has_value();
        });
        return found;
    }

private:
    asio::io_context context_;
    asio::ip::udp::socket socket_;
    asio::ip::udp::endpoint sidecar_;
    std::array<char, 65'536> buffer_{};
};

bool holds(const fleet_member& engine, const std::string& adapter)
{
    const auto reply = send_call(engine.address, {"GET", "/report", {}, {}});
    return reply.ok() && reply->body.find('"' + adapter + '@') != std::string::npos;
}

} // namespace

/// The main loop of a sidecar under unusual input.
class sidecar_rounds_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sidecar_rounds_test);
    CPPUNIT_TEST(rounds_go_on_after_a_name_that_no_order_can_carry);
    CPPUNIT_TEST(orders_bear_no_name_that_no_upstream_may_have);
    CPPUNIT_TEST(new_process_is_told_before_it_can_serve);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a sidecar that lives on without giving orders.
    void rounds_go_on_after_a_name_that_no_order_can_carry()
    {
        const gateway_fleet fleet({.gateways = 0, .engines = 1, .services = 0});
        const auto& sidecar = fleet.sidecars.front();
        CPPUNIT_ASSERT(wait_until([&] {
            const auto reply = send_call(sidecar.admin, {"GET", "/ready", {}, {}});
            return reply.ok() && reply->status == 200;
        }));
        // Latin-1, which is allowed in a field of HTTP. Several rounds take place meanwhile.
        constexpr int demands = 10;
        for (int i = 0; i < demands; ++i) {
            send_demand(sidecar, "a\xe9");
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        CPPUNIT_ASSERT(wait_until(
            [&] {
                send_demand(sidecar, "a1");
                return holds(fleet.engines.front(), "a1");
            },
            std::chrono::seconds(5)));
    }

    // Guards against orders whose header holds a field that a gateway has smuggled in.
    void orders_bear_no_name_that_no_upstream_may_have()
    {
        const gateway_fleet fleet({.gateways = 0, .engines = 1, .services = 0});
        const auto& sidecar = fleet.sidecars.front();
        int number = 0;
        for (const std::string name : {"i 0", "i&0", "i-0\r\nExpect-Instance: i-1"}) {
            const auto adapter = fmt::format("a{}", ++number);
            CPPUNIT_ASSERT_MESSAGE(name, wait_until(
                                             [&] {
                                                 send_demand(sidecar, adapter, name);
                                                 return holds(fleet.engines.front(), adapter);
                                             },
                                             std::chrono::seconds(5)));
        }
        std::size_t told = 0;
        const auto output = sidecar.process->output();
        for (auto at = output.find("event=upstream_rejected"); at != std::string::npos;
             at = output.find("event=upstream_rejected", at + 1)) {
            ++told;
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(output, std::size_t{3}, told);
    }

    // Guards against gateways that take an engine for its predecessor, and join streams of two
    // software versions: its sidecar told of the process only with the model that it had loaded.
    void new_process_is_told_before_it_can_serve()
    {
        constexpr int restarts = 5;
        gateway_fleet fleet({.gateways = 0,
                             .engines = 1,
                             .services = 0,
                             .states_process_start = true,
                             .software = {"v1"}});
        auto& engine = fleet.engines.front();
        listening_gateway gateway(fleet.sidecars.front());
        engine.start.arguments.emplace_back("empty");
        auto last = gateway.wait_for_report([](const auto& status) {
            return status.process_start_ms != 0 && !status.models.empty();
        });
        CPPUNIT_ASSERT(last);
        for (int i = 0; i < restarts; ++i) {
            engine.process->kill();
            CPPUNIT_ASSERT(gateway.wait_for_report(
                [](const auto& status) { return status.process_start_ms == 0; }));
            engine.restart();
            const auto first = gateway.wait_for_report(
                [](const auto& status) { return status.process_start_ms != 0; });
            CPPUNIT_ASSERT(first);
            CPPUNIT_ASSERT(first->process_start_ms != last->process_start_ms);
            CPPUNIT_ASSERT_MESSAGE(fmt::format("restart {}", i), first->models.empty());
            last =
                gateway.wait_for_report([](const auto& status) { return !status.models.empty(); });
            CPPUNIT_ASSERT(last);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sidecar_rounds_test);

} // namespace snipespar::testing
