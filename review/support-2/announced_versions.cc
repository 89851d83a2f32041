// New versions of adapters are announced one after the other, and the store is silent for a moment
// meanwhile. Do requests still begin on the versions before, long after the others were accepted?

#include "fleet.hh"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace review;

namespace {

constexpr int gateway_count = 3;
constexpr int engine_count = 3;
constexpr int adapter_count = 20;
// Bounds of the site.
constexpr std::int64_t contact_ms = 3000;
constexpr std::int64_t version_ms = 5000;
constexpr auto load_time = milliseconds(250);
constexpr auto warm_up = milliseconds(6000);
constexpr auto announcement_pause = milliseconds(250);
// The ninth announcement comes a moment before.
constexpr auto silence_after = milliseconds(2100);
constexpr auto silence = milliseconds(200);
constexpr auto observed_after = milliseconds(12000);
constexpr auto request_pause = milliseconds(25);
constexpr int event_count = 4;
constexpr auto event_pause = milliseconds(20);

const std::string config = R"({"version":3,
 "routes":[{"name":"listing-blurb","host":"krlp.example","path_prefix":"/blurb/",
  "route_type":"streaming","timeout_ms":5000,"target_latency_ms":600,"priority":0,
  "max_attempts":2,"upstream":"listing-assistant","public":true,"resumable":true,
  "gap_aim_ms":400}],
 "upstreams":[{"name":"listing-assistant","health_check":"/health","max_connections":370,
   "engine":{"slots":64,"kv_capacity":244427,"adapter_slots":16,
    "models":[{"name":"m0","weights_mb":65100,"load_s":1.9,"adapters":3000,"adapter_mb":12}]}}],
 "limits":{"max_header_bytes":8192,"max_body_bytes":262144,"header_timeout_ms":3000,
  "idle_timeout_ms":15000},
 "tenants":[]})";

struct shared_state {
    explicit shared_state(const std::string& path) : log(path) {}
    record log;
    std::mutex mutex;
    std::map<std::string, int> newest;
    /// When the store accepted the newest version.
    std::map<std::string, std::int64_t> accepted_at;
    /// From then on the store was stable and every gateway in touch.
    std::int64_t stable_since = 0;
    int runs = 0;
    int late_runs = 0;
    int other_answers = 0;
};

// A model worker: holds adapters in their versions, takes orders, and streams.
class engine {
public:
    engine(std::string id, endpoint address, shared_state& shared)
        : id_(std::move(id)), address_(std::move(address)), born_(unix_ms()), shared_(shared)
    {
        serve_connections(address_, [this](int socket) { serve(socket); });
    }

    std::string entry() const { return worker_entry("listing-assistant", address_, 64, born_); }

private:
    struct loading {
        int version = 1;
        std::int64_t done_at = 0;
    };

    void serve(int socket)
    {
        message_reader reader(socket);
        message request;
        bool is_open = true;
        while (is_open && reader.read(request)) {
            const auto expected = request.field("expect-instance");
            if (request.target() == "/report") {
                is_open = reply(socket, 200, report());
            }
            else if (!expected.empty() && expected != id_) {
                is_open = reply(socket, 421, "{}", "Instance-Id: " + id_ + "\r\n");
            }
            else if (request.target() == "/order") {
                is_open = reply(socket, order(request.body), "{}");
            }
            else {
                is_open = run(socket, request);
            }
        }
        ::close(socket);
    }

    static bool reply(int socket, int status, const std::string& body, const std::string& more = {})
    {
        return send_all(socket, "HTTP/1.1 " + std::to_string(status) + " x\r\n" + more +
                                    "Content-Type: application/json\r\nContent-Length: " +
                                    std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    void finish_loads()
    {
        for (auto item = coming_.begin(); item != coming_.end();) {
            if (now_ms() >= item->second.done_at) {
                adapters_[item->first] = item->second.version;
                item = coming_.erase(item);
            }
            else {
                ++item;
            }
        }
    }

    std::string report()
    {
        const std::lock_guard lock(mutex_);
        finish_loads();
        std::string held;
        for (const auto& [name, version] : adapters_) {
            held += (held.empty() ? "\"" : ",\"") + name + "@" + std::to_string(version) + "\"";
        }
        std::string coming;
        for (const auto& [name, load] : coming_) {
            coming += (coming.empty() ? "\"m0/" : ",\"m0/") + name + "@" +
                      std::to_string(load.version) + "\"";
        }
        return R"({"stage":"both","models":[{"name":"m0","version":1,"adapters":[)" + held +
               R"(]}],"busy":false,"seq":)" + std::to_string(orders_) +
               R"(,"waiting":0,"running":)" + std::to_string(running_) +
               R"(,"kv_used":0,"kv_total":244427,"handles":0,"coming":[)" + coming +
               R"(],"born":)" + std::to_string(born_) + "}";
    }

    static std::string text_of(const std::string& body, const std::string& name)
    {
        const auto key = body.find("\"" + name + "\":");
        if (key == std::string::npos) {
            return {};
        }
        auto start = key + name.size() + 3;
        if (body[start] == '"') {
            ++start;
            return body.substr(start, body.find('"', start) - start);
        }
        return body.substr(start, body.find_first_of(",}", start) - start);
    }

    int order(const std::string& body)
    {
        const std::lock_guard lock(mutex_);
        finish_loads();
        const auto adapter = text_of(body, "adapter");
        if (adapter.empty() || text_of(body, "holder").empty() || text_of(body, "fence").empty()) {
            return 400;
        }
        const auto expected = text_of(body, "expect");
        if (!expected.empty() && std::atoi(expected.c_str()) != orders_) {
            return 409;
        }
        ++orders_;
        if (text_of(body, "operation") == "unload") {
            adapters_.erase(adapter);
            return 200;
        }
        const auto version = text_of(body, "version");
        int newest = 1;
        {
            const std::lock_guard guard(shared_.mutex);
            newest = shared_.newest[adapter];
        }
        coming_[adapter] = {version.empty() ? newest : std::atoi(version.c_str()),
                            now_ms() + load_time.count()};
        return 202;
    }

    bool run(int socket, const message& request)
    {
        const auto id = request.field("request-id");
        const auto model = request.field("model");
        const auto adapter = model.substr(model.find('/') + 1);
        int version = 0;
        {
            const std::lock_guard lock(mutex_);
            finish_loads();
            const auto found = adapters_.find(adapter);
            version = found == adapters_.end() ? 0 : found->second;
            running_ += version == 0 ? 0 : 1;
        }
        if (version == 0) {
            return reply(socket, 421, "{}", "Not-Executed: 1\r\nRequest-Id: " + id + "\r\n");
        }
        note_run(id, adapter, version);
        std::string bytes = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: " + id_ +
                            "." + id + "\r\nInstance-Id: " + id_ +
                            "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n";
        const auto after = request.field("last-event-id");
        bool is_open = true;
        for (int number = after.empty() ? 1 : std::atoi(after.c_str()) + 1;
             is_open && number <= event_count; ++number) {
            const auto event = "id: " + std::to_string(number) + "\ndata: " + id + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            bytes += size + event + "\r\n";
            is_open = send_all(socket, bytes);
            bytes.clear();
            std::this_thread::sleep_for(event_pause);
        }
        {
            const std::lock_guard lock(mutex_);
            --running_;
        }
        return is_open && send_all(socket, "0\r\n\r\n");
    }

    void note_run(const std::string& id, const std::string& adapter, int version)
    {
        const std::lock_guard lock(shared_.mutex);
        const auto now = now_ms();
        ++shared_.runs;
        if (version >= shared_.newest[adapter]) {
            return;
        }
        const auto counted_from = std::max(shared_.accepted_at[adapter], shared_.stable_since);
        const bool is_late = now > counted_from + version_ms;
        shared_.late_runs += is_late ? 1 : 0;
        if (is_late) {
            shared_.log.line("engine " + id_ + " begins " + id + " on " + adapter + "@" +
                             std::to_string(version) + ", " +
                             std::to_string(now - shared_.accepted_at[adapter]) +
                             " ms after version " + std::to_string(shared_.newest[adapter]) +
                             " was accepted: late");
        }
    }

    std::string id_;
    endpoint address_;
    std::int64_t born_;
    shared_state& shared_;
    std::mutex mutex_;
    int orders_ = 0;
    int running_ = 0;
    std::map<std::string, int> adapters_;
    std::map<std::string, loading> coming_;
};

std::string call(const endpoint& gateway, const std::string& id, const std::string& adapter)
{
    const int socket = connect_to(gateway);
    if (socket < 0) {
        return "no connection";
    }
    send_all(socket, "POST /blurb/x HTTP/1.1\r\nHost: krlp.example\r\nRequest-Id: " + id +
                         "\r\nDeadline-Ms: 5000\r\nModel: m0/" + adapter +
                         "\r\nToken-Count: 100,20\r\nPrompt-Prefix: 5c1e07a2:90,91bd3f06:10\r\n"
                         "Content-Length: 1\r\n\r\nx");
    message answer;
    message_reader reader(socket);
    const bool is_answered = reader.read(answer);
    ::close(socket);
    return is_answered ? status_of(answer.first_line) : "channel closed";
}

} // namespace

int main(int argc, char** argv)
{
    const auto where = read_paths(argc, argv);
    shared_state shared(where.record);
    shared.log.line(where.has_trouble ? "with the disruption" : "without the disruption");

    store platform(free_endpoint("127.0.0.1"));
    platform.put("config", "main", config);
    const int control_port = free_endpoint("127.0.1.1").port;
    std::vector<std::string> adapters;
    for (int i = 0; i < adapter_count; ++i) {
        adapters.push_back("a" + std::to_string(i + 1));
        shared.newest[adapters.back()] = 1;
    }
    std::vector<std::unique_ptr<engine>> engines;
    std::vector<member> members;
    for (int i = 0; i < engine_count; ++i) {
        const auto ip = "127.0.3." + std::to_string(i + 1);
        const auto address = free_endpoint(ip);
        const auto id = "e-" + std::to_string(i);
        engines.push_back(std::make_unique<engine>(id, address, shared));
        platform.put("servers", id, engines.back()->entry());
        members.push_back(
            start_sidecar(where, "side-" + std::to_string(i), ip, control_port, address));
    }
    std::vector<endpoint> entries;
    for (int i = 0; i < gateway_count; ++i) {
        members.push_back(start_gateway(where, krlp_ops, "front-" + std::to_string(i), "a",
                                        "127.0.1." + std::to_string(i + 1), control_port,
                                        platform.address()));
        entries.push_back(members.back().listen);
    }
    for (const auto& member : members) {
        if (!wait_until_ready(member.admin, milliseconds(10000))) {
            shared.log.line("a process is not ready: the case could not run");
            std::_Exit(2);
        }
    }

    std::atomic<bool> is_over = false;
    std::atomic<int> open_calls = 0;
    std::thread requests([&] {
        for (int i = 0; !is_over; ++i) {
            ++open_calls;
            std::thread([&, i] {
                const auto status =
                    call(entries[static_cast<std::size_t>(i) % entries.size()],
                         "blurb-" + std::to_string(i),
                         adapters[static_cast<std::size_t>(i) / 3 % adapters.size()]);
                if (status != "200") {
                    const std::lock_guard lock(shared.mutex);
                    ++shared.other_answers;
                }
                --open_calls;
            }).detach();
            std::this_thread::sleep_for(request_pause);
        }
    });
    std::this_thread::sleep_for(warm_up);

    std::thread outage;
    if (where.has_trouble) {
        outage = std::thread([&] {
            std::this_thread::sleep_for(silence_after);
            shared.log.line("the store falls silent");
            platform.set_silent(true);
            std::this_thread::sleep_for(silence);
            platform.set_silent(false);
            const std::lock_guard lock(shared.mutex);
            shared.stable_since = now_ms() + contact_ms;
            shared.log.line("the store answers again");
        });
    }
    for (const auto& adapter : adapters) {
        platform.put("versions", "m0." + adapter,
                     R"({"model":"m0","adapter":")" + adapter + R"(","version":2})");
        {
            const std::lock_guard lock(shared.mutex);
            shared.newest[adapter] = 2;
            shared.accepted_at[adapter] = now_ms();
            shared.log.line("the store accepts version 2 of " + adapter);
        }
        std::this_thread::sleep_for(announcement_pause);
    }
    if (outage.joinable()) {
        outage.join();
    }
    std::this_thread::sleep_for(observed_after);
    is_over = true;
    requests.join();
    while (open_calls > 0) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    for (auto& member : members) {
        member.process.end();
    }

    const std::lock_guard lock(shared.mutex);
    shared.log.line("requests run " + std::to_string(shared.runs) + ", answered otherwise " +
                    std::to_string(shared.other_answers) +
                    ", begun on an older version later than " + std::to_string(version_ms) +
                    " ms: " + std::to_string(shared.late_runs));
    if (shared.runs == 0) {
        shared.log.line("nothing ran: the case could not run");
        std::_Exit(2);
    }
    shared.log.line(shared.late_runs > 0 ? "VERSION broken" : "VERSION held");
    std::_Exit(shared.late_runs > 0 ? 1 : 0);
}
