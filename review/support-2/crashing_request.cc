// A request that crashes its workers comes again and again. All gateways are killed at one moment
// and started again. How many of its retries reach a worker after its third crash?

#include "fleet.hh"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstring>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace review;

namespace {

constexpr int gateway_count = 3;
constexpr int worker_count = 7;
constexpr int engine_count = 2;
// Bounds of the site.
constexpr std::int64_t contact_ms = 4000;
constexpr int allowed_retries = 3;
constexpr auto work_time = milliseconds(60);
constexpr auto worker_down = milliseconds(3000);
// The processes are started again after a short delay.
constexpr auto gateway_down = milliseconds(1000);
// The caller repeats at once and often for the site's longest time, and less often after that.
constexpr auto retry_pause = milliseconds(150);
constexpr auto later_retry_pause = milliseconds(500);
constexpr auto impatience = milliseconds(5500);
constexpr auto bystander_pause = milliseconds(25);
constexpr auto first_part = milliseconds(9000);
constexpr auto second_part = milliseconds(35000);

const std::string config = R"({"version":3,
 "routes":[{"name":"sign-record","host":"cartorio.example","path_prefix":"/sign/",
  "route_type":"unsafe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"max_attempts":1,
  "upstream":"cartorio","public":true,"resumable":false},
  {"name":"clause-summary","host":"cartorio.example","path_prefix":"/clause/",
  "route_type":"streaming","timeout_ms":4000,"target_latency_ms":800,"priority":0,
  "max_attempts":2,"upstream":"leitor","public":true,"resumable":true,"gap_aim_ms":500}],
 "upstreams":[{"name":"cartorio","health_check":"/health","max_connections":190},
  {"name":"leitor","health_check":"/health","max_connections":380,
   "engine":{"slots":48,"kv_capacity":261246,"adapter_slots":16,
    "models":[{"name":"m0","weights_mb":65100,"load_s":0.6,"adapters":100,"adapter_mb":12}]}}],
 "limits":{"max_header_bytes":8192,"max_body_bytes":65536,"header_timeout_ms":3000,
  "idle_timeout_ms":15000},
 "tenants":[]})";

const std::string deadly = "a body that crashes its workers";

struct shared_state {
    explicit shared_state(const std::string& path) : log(path) {}
    record log;
    std::mutex mutex;
    int crashes = 0;
    std::int64_t third_crash_at = -1;
    /// Requests that reached a worker more than the site's contact time after the third crash.
    std::vector<std::string> late_arrivals;
    int lost_bystanders = 0;
};

// A worker process, played by threads: a crash closes its listener and all of its channels.
class worker {
public:
    worker(std::string id, endpoint address, store& platform, shared_state& shared)
        : id_(std::move(id)), address_(std::move(address)), platform_(platform), shared_(shared)
    {
        start();
    }

private:
    void start()
    {
        const std::lock_guard lock(mutex_);
        born_ = unix_ms();
        listener_ = listen_at(address_);
        platform_.put("servers", id_, worker_entry("cartorio", address_, 6, born_));
        std::thread([this, listener = listener_] {
            while (true) {
                const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (socket < 0) {
                    return;
                }
                {
                    const std::lock_guard guard(mutex_);
                    open_.insert(socket);
                }
                std::thread([this, socket] { serve(socket); }).detach();
            }
        }).detach();
    }

    void crash()
    {
        {
            const std::lock_guard lock(mutex_);
            if (listener_ < 0) {
                return;
            }
            ::shutdown(listener_, SHUT_RDWR);
            ::close(listener_);
            listener_ = -1;
            for (const int socket : open_) {
                ::shutdown(socket, SHUT_RDWR);
            }
        }
        std::thread([this] {
            std::this_thread::sleep_for(worker_down);
            start();
        }).detach();
    }

    void serve(int socket)
    {
        message_reader reader(socket);
        message request;
        while (reader.read(request)) {
            const auto id = request.field("request-id");
            if (request.body == deadly) {
                note_crash(id);
                crash();
                break;
            }
            std::this_thread::sleep_for(work_time);
            const std::string body = "done " + id;
            if (!send_all(socket, "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: " +
                                      id_ + "." + id + "\r\nInstance-Id: " + id_ +
                                      "\r\nContent-Length: " + std::to_string(body.size()) +
                                      "\r\n\r\n" + body)) {
                break;
            }
        }
        const std::lock_guard lock(mutex_);
        open_.erase(socket);
        ::close(socket);
    }

    void note_crash(const std::string& request)
    {
        const std::lock_guard lock(shared_.mutex);
        const auto now = now_ms();
        ++shared_.crashes;
        const bool is_late =
            shared_.third_crash_at >= 0 && now > shared_.third_crash_at + contact_ms;
        if (shared_.crashes == 3) {
            shared_.third_crash_at = now;
        }
        if (is_late) {
            shared_.late_arrivals.push_back(request);
        }
        shared_.log.line("worker " + id_ + " begins " + request + " and crashes: crash " +
                         std::to_string(shared_.crashes) + (is_late ? ", a late retry" : ""));
    }

    std::string id_;
    endpoint address_;
    store& platform_;
    shared_state& shared_;
    std::mutex mutex_;
    int listener_ = -1;
    std::int64_t born_ = 0;
    std::set<int> open_;
};

// An engine that holds its model and runs nothing: gateways learn of each other from its sidecar.
void serve_engine(int socket, std::int64_t born)
{
    message_reader reader(socket);
    message request;
    while (reader.read(request)) {
        const std::string body =
            R"({"stage":"both","models":[{"name":"m0","version":1,"adapters":[]}],"busy":false,)"
            R"("seq":0,"waiting":0,"running":0,"kv_used":0,"kv_total":261246,"handles":0,)"
            R"("coming":[],"born":)" +
            std::to_string(born) + "}";
        if (!send_all(socket, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                              "Content-Length: " +
                                  std::to_string(body.size()) + "\r\n\r\n" + body)) {
            break;
        }
    }
    ::close(socket);
}

// Sends one request on a new channel; returns the status, or what happened instead.
std::string call(const endpoint& gateway, const std::string& id, const std::string& body)
{
    const int socket = connect_to(gateway);
    if (socket < 0) {
        return "no connection";
    }
    send_all(socket, "POST /sign/" + std::string(body == deadly ? "deadly" : id) +
                         " HTTP/1.1\r\nHost: cartorio.example\r\nRequest-Id: " + id +
                         "\r\nDeadline-Ms: 1500\r\nContent-Length: " + std::to_string(body.size()) +
                         "\r\n\r\n" + body);
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
    std::vector<member> sidecars;
    for (int i = 0; i < engine_count; ++i) {
        const auto ip = "127.0.3." + std::to_string(i + 1);
        const auto address = free_endpoint(ip);
        const auto born = unix_ms();
        serve_connections(address, [born](int socket) { serve_engine(socket, born); });
        platform.put("servers", "e-" + std::to_string(i),
                     worker_entry("leitor", address, 48, born));
        sidecars.push_back(
            start_sidecar(where, "side-" + std::to_string(i), ip, control_port, address));
    }
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 0; i < worker_count; ++i) {
        workers.push_back(std::make_unique<worker>(
            "w-" + std::to_string(i), free_endpoint("127.0.2." + std::to_string(i + 1)), platform,
            shared));
    }
    std::vector<member> gateways;
    for (int i = 0; i < gateway_count; ++i) {
        gateways.push_back(start_gateway(where, serrana_assina_grown, "front-" + std::to_string(i),
                                         "a", "127.0.1." + std::to_string(i + 1), control_port,
                                         platform.address()));
    }
    const auto end_all = [&] {
        for (auto& gateway : gateways) {
            gateway.process.end();
        }
        for (auto& sidecar : sidecars) {
            sidecar.process.end();
        }
    };
    for (const auto& gateway : gateways) {
        if (!wait_until_ready(gateway.admin, milliseconds(10000))) {
            shared.log.line("a gateway is not ready: the case could not run");
            end_all();
            std::_Exit(2);
        }
    }
    // In touch: the processes have run for the contact time.
    std::this_thread::sleep_for(milliseconds(contact_ms));

    std::atomic<bool> is_over = false;
    std::atomic<bool> are_down = false;
    std::thread bystanders([&] {
        for (int i = 0; !is_over; ++i) {
            std::thread([&, i] {
                const auto id = "sign-" + std::to_string(i);
                const auto status = call(
                    gateways[static_cast<std::size_t>(i) % gateways.size()].listen, id, "a digest");
                if (status == "502" || (status == "channel closed" && !are_down)) {
                    const std::lock_guard lock(shared.mutex);
                    const bool is_late =
                        shared.third_crash_at >= 0 && now_ms() > shared.third_crash_at + contact_ms;
                    shared.lost_bystanders += is_late ? 1 : 0;
                    shared.log.line("bystander " + id + ": " + status);
                }
            }).detach();
            std::this_thread::sleep_for(bystander_pause);
        }
    });
    int sent = 0;
    const auto insist = [&](milliseconds span) {
        const auto until = clock::now() + span;
        const auto impatient_until = clock::now() + impatience;
        std::string last;
        while (clock::now() < until) {
            const auto id = "deadly-" + std::to_string(sent);
            const auto& gateway = gateways[static_cast<std::size_t>(sent) % gateways.size()];
            ++sent;
            const auto status = call(gateway.listen, id, deadly);
            if (status != last) {
                shared.log.line("caller sends " + id + " at " + gateway.host + ": " + status);
            }
            last = status;
            std::this_thread::sleep_for(clock::now() < impatient_until ? retry_pause
                                                                       : later_retry_pause);
        }
    };
    insist(first_part);
    if (where.has_trouble) {
        shared.log.line("SIGKILL to all gateways");
        are_down = true;
        for (auto& gateway : gateways) {
            gateway.process.signal(SIGKILL);
        }
        for (auto& gateway : gateways) {
            gateway.process.end();
        }
        std::this_thread::sleep_for(gateway_down);
        for (auto& gateway : gateways) {
            gateway.start();
        }
        shared.log.line("all gateways are started again");
        for (const auto& gateway : gateways) {
            if (!wait_until_ready(gateway.admin, milliseconds(10000))) {
                shared.log.line("a gateway is not ready: the case could not run");
                end_all();
                std::_Exit(2);
            }
        }
        are_down = false;
    }
    // The gateways are in touch from then on.
    std::this_thread::sleep_for(milliseconds(contact_ms));
    insist(second_part);
    is_over = true;
    bystanders.join();
    std::this_thread::sleep_for(milliseconds(500));
    end_all();

    const std::lock_guard lock(shared.mutex);
    const auto late = static_cast<int>(shared.late_arrivals.size());
    shared.log.line("crashes " + std::to_string(shared.crashes) +
                    ", retries that reached a worker " + std::to_string(late) + " (allowed " +
                    std::to_string(allowed_retries) + "), sound requests lost in them " +
                    std::to_string(shared.lost_bystanders));
    if (shared.crashes < 3) {
        shared.log.line("the request did not crash three workers: the case could not run");
        std::_Exit(2);
    }
    shared.log.line(late > allowed_retries ? "BUDGET broken" : "BUDGET held");
    std::_Exit(late > allowed_retries ? 1 : 0);
}
