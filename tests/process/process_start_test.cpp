#include "process/support/child_process.h"
#include "process/support/descriptor_needs.h"
#include "process/support/free_port.h"
#include "process/support/gateway_fleet.h"
#include "process/support/raw_caller.h"
#include "process/support/wait_until.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace snipespar::testing {

namespace {

namespace asio = boost::asio;

// A process that is going to end for its surroundings does so within a few milliseconds.
constexpr std::chrono::milliseconds observation_time{500};

// Addresses of one process on one host.
struct process_addresses {
    cli::endpoint listen = free_address();
    cli::endpoint admin = free_address();
    cli::endpoint control = free_address();
};

// The command lines of deploy/system.toml. No store and no engine is there.
program_start gateway_start(const process_addresses& addresses)
{
    return {"snipespar",
            {"gateway", "--listen=" + addresses.listen.str(),
             "--admin-listen=" + addresses.admin.str(),
             "--control-listen=" + addresses.control.str(), "--platform=127.0.0.1:1",
             "--host=front-a-1", "--failure-domain=a", "--leave-bound=2000ms", "--retry-ratio=0.2",
             "--retry-slack=52"},
            {}};
}

program_start sidecar_start(const process_addresses& addresses)
{
    return {"snipespar",
            {"sidecar", "--control-listen=" + addresses.control.str(),
             "--admin-listen=" + addresses.admin.str(), "--engine=127.0.0.1:1", "--host=side-a-1"},
            {}};
}

bool is_alive(const cli::endpoint& admin)
{
    const auto reply = send_call(admin, {"GET", "/livez", {}, {}}, observation_time);
    return reply.ok() && reply->status == 200;
}

// Holds one address until it is destroyed.
template <class Protocol>
class held_address {
public:
    explicit held_address(const cli::endpoint& address)
        : socket_(context_,
                  typename Protocol::endpoint(asio::ip::make_address(address.ip), address.port))
    {
        // The process under test must not inherit it.
        fcntl(socket_.native_handle(), F_SETFD, FD_CLOEXEC);
    }

private:
    asio::io_context context_;
    typename Protocol::socket socket_;
};

// The process starts while `holder` has one of its addresses, lives on, and works once that is
// free.
template <class Holder>
void check_waits_for_address(const program_start& start, const cli::endpoint& admin, Holder holder)
{
    child_process process(start);
    // Observed from the failed attempt on: a busy machine may start the process late.
    CPPUNIT_ASSERT_MESSAGE(process.output(), process.wait_for_output("event=address_in_use"));
    std::this_thread::sleep_for(observation_time);
    CPPUNIT_ASSERT_MESSAGE(process.output(), process.running());
    CPPUNIT_ASSERT(process.output().find("event=started") == std::string::npos);
    holder.reset();
    CPPUNIT_ASSERT(wait_until([&] { return is_alive(admin); }));
    CPPUNIT_ASSERT(process.wait_for_output("event=started"));
}

// Processor time of the process so far.
std::chrono::milliseconds processor_time(const child_process& process)
{
    std::ifstream file(fmt::format("/proc/{}/stat", process.id()));
    std::string text;
    std::getline(file, text);
    // User and system time in ticks are the 12th and 13th fields behind the program's name.
    constexpr int fields_before = 11;
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string skipped;
    for (int i = 0; i < fields_before; ++i) {
        fields >> skipped;
    }
    long user = 0;
    long system = 0;
    fields >> user >> system;
    return std::chrono::milliseconds((user + system) * 1000 / sysconf(_SC_CLK_TCK));
}

} // namespace

/// Processes that start and run under circumstances that the bench does not bring about.
class process_start_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(process_start_test);
    CPPUNIT_TEST(gateway_waits_for_its_listening_address);
    CPPUNIT_TEST(gateway_waits_for_its_datagram_address);
    CPPUNIT_TEST(gateway_waits_for_its_admin_address);
    CPPUNIT_TEST(sidecar_waits_for_its_datagram_address);
    CPPUNIT_TEST(sidecar_waits_for_its_admin_address);
    CPPUNIT_TEST(waiting_process_stops_when_told);
    CPPUNIT_TEST(process_survives_a_log_whose_reader_has_gone);
    CPPUNIT_TEST(process_survives_a_closed_log);
    CPPUNIT_TEST(output_shared_with_other_processes_stays_blocking);
#ifndef SNIPESPAR_TEST_NEEDS_DESCRIPTORS
    CPPUNIT_TEST(gateway_without_free_descriptors_does_not_spin);
#endif
    CPPUNIT_TEST(no_datagram_ends_a_process);
    CPPUNIT_TEST(process_survives_a_log_file_that_is_full);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against processes that end at once when they start beside their predecessor.
    void gateway_waits_for_its_listening_address()
    {
        const process_addresses addresses;
        auto holder = std::make_unique<child_process>(gateway_start(
            {.listen = addresses.listen, .admin = free_address(), .control = free_address()}));
        CPPUNIT_ASSERT(holder->wait_for_output("event=started"));
        check_waits_for_address(gateway_start(addresses), addresses.admin, std::move(holder));
    }

    void gateway_waits_for_its_datagram_address()
    {
        const process_addresses addresses;
        check_waits_for_address(gateway_start(addresses), addresses.admin,
                                std::make_unique<held_address<asio::ip::udp>>(addresses.control));
    }

    void gateway_waits_for_its_admin_address()
    {
        const process_addresses addresses;
        auto holder = std::make_unique<child_process>(gateway_start(
            {.listen = free_address(), .admin = addresses.admin, .control = free_address()}));
        CPPUNIT_ASSERT(holder->wait_for_output("event=started"));
        check_waits_for_address(gateway_start(addresses), addresses.admin, std::move(holder));
    }

    void sidecar_waits_for_its_datagram_address()
    {
        const process_addresses addresses;
        check_waits_for_address(sidecar_start(addresses), addresses.admin,
                                std::make_unique<held_address<asio::ip::udp>>(addresses.control));
    }

    void sidecar_waits_for_its_admin_address()
    {
        const process_addresses addresses;
        auto holder = std::make_unique<child_process>(sidecar_start(
            {.listen = free_address(), .admin = addresses.admin, .control = free_address()}));
        CPPUNIT_ASSERT(holder->wait_for_output("event=started"));
        check_waits_for_address(sidecar_start(addresses), addresses.admin, std::move(holder));
    }

    void waiting_process_stops_when_told()
    {
        const process_addresses addresses;
        const held_address<asio::ip::udp> holder(addresses.control);
        for (const auto& start : {gateway_start(addresses), sidecar_start(addresses)}) {
            child_process process(start);
            CPPUNIT_ASSERT(process.wait_for_output("event=address_in_use"));
            process.signal(SIGTERM);
            CPPUNIT_ASSERT(process.wait() == 0);
        }
    }

    // Guards against processes that end by SIGPIPE, or by an exception, at a line of their log.
    void process_survives_a_log_whose_reader_has_gone()
    {
        check_lives_without_log(program_output::reader_gone);
    }

    void process_survives_a_closed_log() { check_lives_without_log(program_output::closed); }

    // Guards against other writers of one pipe that lose their output.
    void output_shared_with_other_processes_stays_blocking()
    {
        const process_addresses addresses;
        child_process process(gateway_start(addresses));
        CPPUNIT_ASSERT(process.wait_for_output("event=started"));
        std::ifstream info(fmt::format("/proc/{}/fdinfo/2", process.id()));
        std::string line;
        while (std::getline(info, line) && !line.starts_with("flags:")) {
        }
        // Both outputs are one pipe.
        const auto flags = std::stoul(line.substr(line.find_first_of("01234567")), nullptr, 8);
        CPPUNIT_ASSERT_EQUAL(0UL, flags & O_NONBLOCK);
    }

    // Guards against a process that does not hand back the processor while callers wait.
    void gateway_without_free_descriptors_does_not_spin()
    {
        constexpr std::size_t descriptors = 64;
        constexpr int callers = 100;
        constexpr std::chrono::milliseconds measured_time{2000};
        // A fifth of a core is what the smallest hosts have.
        constexpr std::chrono::milliseconds most_processor_time{400};
        const process_addresses addresses;
        auto start = gateway_start(addresses);
        start.max_descriptors = descriptors;
        child_process process(start);
        CPPUNIT_ASSERT(process.wait_for_output("event=started"));
        std::vector<std::unique_ptr<raw_caller>> connections;
        connections.reserve(callers);
        for (int i = 0; i < callers; ++i) {
            connections.push_back(std::make_unique<raw_caller>(addresses.listen));
        }
        const auto before = processor_time(process);
        std::this_thread::sleep_for(measured_time);
        const auto used = processor_time(process) - before;
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} ms", used.count()), used < most_processor_time);
        connections.clear();
        CPPUNIT_ASSERT(wait_until([&] {
            const auto reply =
                send_call(addresses.listen, {"GET", "/x", {{"Host", "a"}, {"Request-Id", "r"}}, {}},
                          observation_time);
            return reply.ok() && reply->status == 503;
        }));
        CPPUNIT_ASSERT(process.running());
    }

    // Guards against datagrams whose decoding exhausts the stack.
    void no_datagram_ends_a_process()
    {
        constexpr std::size_t most_bytes = 65'000;
        const process_addresses gateway_addresses;
        const process_addresses sidecar_addresses;
        child_process gateway(gateway_start(gateway_addresses));
        child_process sidecar(sidecar_start(sidecar_addresses));
        CPPUNIT_ASSERT(gateway.wait_for_output("event=started"));
        CPPUNIT_ASSERT(sidecar.wait_for_output("event=started"));
        asio::io_context context;
        asio::ip::udp::socket socket(context, asio::ip::udp::v4());
        // Strings of indefinite length, arrays, objects, tags and breaks within each other.
        for (const char byte : {'\x5f', '\x7f', '\x81', '\x9f', '\xa1', '\xbf', '\xc6', '\xff'}) {
            for (const auto& address : {gateway_addresses.control, sidecar_addresses.control}) {
                const std::string text =
                    "\xa1\x61" + std::string("a") + std::string(most_bytes, byte);
                const asio::ip::udp::endpoint peer(asio::ip::make_address(address.ip),
                                                   address.port);
                socket.send_to(asio::buffer(text), peer);
                socket.send_to(asio::buffer(std::string(most_bytes, byte)), peer);
            }
            CPPUNIT_ASSERT(wait_until([&] { return is_alive(gateway_addresses.admin); },
                                      std::chrono::seconds(5)));
            CPPUNIT_ASSERT(wait_until([&] { return is_alive(sidecar_addresses.admin); },
                                      std::chrono::seconds(5)));
        }
        CPPUNIT_ASSERT(gateway.running());
        CPPUNIT_ASSERT(sidecar.running());
    }

    // Guards against processes that end by SIGXFSZ at a line of their log.
    void process_survives_a_log_file_that_is_full()
    {
        check_lives_without_log(program_output::full_file);
    }

private:
    static void check_lives_without_log(program_output output)
    {
        const process_addresses gateway_addresses;
        const process_addresses sidecar_addresses;
        auto gateway = gateway_start(gateway_addresses);
        auto sidecar = sidecar_start(sidecar_addresses);
        gateway.output = output;
        sidecar.output = output;
        child_process first(gateway);
        child_process second(sidecar);
        CPPUNIT_ASSERT(
            wait_until([&] { return is_alive(gateway_addresses.admin); }, std::chrono::seconds(3)));
        CPPUNIT_ASSERT(
            wait_until([&] { return is_alive(sidecar_addresses.admin); }, std::chrono::seconds(3)));
        CPPUNIT_ASSERT(first.running());
        CPPUNIT_ASSERT(second.running());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(process_start_test);

} // namespace snipespar::testing
