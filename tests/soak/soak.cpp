#include "soak/soak.h"

#include "process/support/gateway_fleet.h"
#include "process/support/persistent_caller.h"
#include "process/support/wait_until.h"
#include "soak/soak_record.h"

#include <array>
#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <functional>
#include <random>
#include <thread>
#include <utility>

namespace snipespar::testing {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds min_fault_interval{30};
constexpr milliseconds max_fault_interval{350};
constexpr milliseconds max_fault_duration{1500};
constexpr milliseconds call_timeout{5000};

// Injects faults and heals them, all from one thread.
class fault_injector {
public:
    fault_injector(gateway_fleet& fleet, std::uint64_t seed) : fleet_(fleet), random_(seed) {}

    void run(milliseconds length)
    {
        const auto end = std::chrono::steady_clock::now() + length;
        while (std::chrono::steady_clock::now() < end) {
            heal_expired();
            restart_exited();
            inject_fault();
            std::this_thread::sleep_for(between(min_fault_interval, max_fault_interval));
        }
        for (auto& [when, heal] : pending_heals_) {
            heal();
        }
        pending_heals_.clear();
        restart_exited();
    }

    const std::vector<std::string>& faults() const { return faults_; }
    const std::vector<std::string>& outputs() const { return outputs_; }

private:
    milliseconds between(milliseconds least, milliseconds most)
    {
        return milliseconds(
            std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random_));
    }

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
    }

    fleet_member& pick(std::vector<fleet_member>& members) { return members[pick(members.size())]; }

    fleet_member& pick_any()
    {
        const std::array<std::vector<fleet_member>*, 4> groups{&fleet_.gateways, &fleet_.sidecars,
                                                               &fleet_.engines, &fleet_.services};
        return pick(*groups[pick(groups.size())]);
    }

    void heal_later(std::function<void()> heal)
    {
        pending_heals_.emplace_back(std::chrono::steady_clock::now() +
                                        between(milliseconds(100), max_fault_duration),
                                    std::move(heal));
    }

    void heal_expired()
    {
        const auto now = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < pending_heals_.size();) {
            if (pending_heals_[i].first > now) {
                ++i;
                continue;
            }
            const auto heal = std::move(pending_heals_[i].second);
            pending_heals_.erase(pending_heals_.begin() + static_cast<std::ptrdiff_t>(i));
            heal();
        }
    }

    void log_fault(const std::string& fault, const std::string& subject)
    {
        faults_.push_back(fmt::format("{} {}", fault, subject));
    }

    // Kills and restarts a member; keeps its output so far.
    void restart_member(fleet_member& member)
    {
        member.process->signal(SIGCONT);
        member.process->kill();
        outputs_.push_back(member.process->output());
        member.restart();
    }

    // Restarts exited processes, as the platform does; a signal that arrives while a process is
    // being loaded ends it.
    void restart_exited()
    {
        for (auto* const group : {&fleet_.gateways, &fleet_.sidecars}) {
            for (auto& member : *group) {
                if (!member.process->running()) {
                    restart_member(member);
                }
            }
        }
    }

    void inject_fault()
    {
        switch (pick(std::size_t{9})) {
        case 0:
        case 1: {
            auto& member = pick_any();
            log_fault("kill", member.id);
            restart_member(member);
            break;
        }
        case 2:
        case 3: {
            auto& member = pick_any();
            log_fault("pause", member.id);
            member.process->signal(SIGSTOP);
            heal_later([&member] { member.process->signal(SIGCONT); });
            break;
        }
        case 4: {
            auto& gateway = pick(fleet_.gateways);
            log_fault("terminate", gateway.id);
            gateway.process->signal(SIGTERM);
            heal_later([this, &gateway] { restart_member(gateway); });
            break;
        }
        case 5:
            log_fault("reload", "all");
            for (const auto& gateway : fleet_.gateways) {
                gateway.process->signal(SIGHUP);
            }
            break;
        case 6:
            inject_store_fault();
            break;
        case 7: {
            log_fault("configuration", "");
            const bool has_key = pick(std::size_t{2}) == 0;
            fleet_.change_config([&](nlohmann::json& config) {
                config["tenants"][0]["api_keys"] = has_key
                                                       ? nlohmann::json{"key-1", "key-2", "key-3"}
                                                       : nlohmann::json{"key-1", "key-2"};
            });
            break;
        }
        default: {
            auto& service = pick(fleet_.services);
            log_fault("drain", service.id);
            fleet_.announce(service, "desk", true);
            heal_later([this, &service] { fleet_.announce(service, "desk", false); });
            break;
        }
        }
    }

    void inject_store_fault()
    {
        switch (pick(std::size_t{4})) {
        case 0:
            log_fault("lost history", "store");
            send_call(fleet_.store.address, {"DELETE", "/history", {}, {}}).IgnoreError();
            break;
        case 1:
            log_fault("unreachable", "store");
            fleet_.store_relay->set_unreachable(true);
            heal_later([this] { fleet_.store_relay->set_unreachable(false); });
            break;
        case 2:
            log_fault("unresponsive", "store");
            fleet_.store_relay->set_from_target(relay_mode::freeze);
            heal_later([this] { fleet_.store_relay->set_from_target(relay_mode::pass); });
            break;
        default:
            log_fault("lost connection state", "store");
            fleet_.store_relay->set_from_target(relay_mode::drop);
            heal_later([this] {
                fleet_.store_relay->cut();
                fleet_.store_relay->set_from_target(relay_mode::pass);
            });
            break;
        }
    }

    gateway_fleet& fleet_;
    std::mt19937_64 random_;
    std::vector<std::pair<std::chrono::steady_clock::time_point, std::function<void()>>>
        pending_heals_;
    std::vector<std::string> faults_;
    std::vector<std::string> outputs_;
};

// Sends calls of all kinds to random gateways until `is_stopping` is set.
void run_caller(const gateway_fleet& fleet, std::uint64_t seed, const std::string& name,
                const std::atomic<bool>& is_stopping, soak_record& record)
{
    std::mt19937_64 random(seed);
    std::vector<std::unique_ptr<persistent_caller>> callers;
    callers.reserve(fleet.gateways.size());
    for (const auto& gateway : fleet.gateways) {
        callers.push_back(std::make_unique<persistent_caller>(gateway.address));
    }
    const std::vector<std::string> targets{"/unsafe/x", "/unsafe/slow/x", "/safe/x",
                                           "/stream/x", "/stream/x",      "/stream/slow/x"};
    for (int number = 0; !is_stopping; ++number) {
        const auto id = fmt::format("{}-{}", name, number);
        auto call = fleet.make_call(targets[random() % targets.size()], id);
        call.headers["Deadline-Ms"] = "3000";
        if (call.headers.contains("Model")) {
            call.headers["Model"] = fmt::format("base/a{}", random() % 12);
        }
        record.on_sent(id, call.target, call.body);
        if (const auto reply = callers[random() % callers.size()]->send(call, call_timeout)) {
            record.on_answer(id, reply->status, reply->body);
        }
    }
}

// Waits until every gateway has served a call of each kind; false on timeout.
bool wait_until_serving(const gateway_fleet& fleet, soak_record& record)
{
    int number = 0;
    for (const auto& gateway : fleet.gateways) {
        for (const auto* target : {"/unsafe/x", "/safe/x", "/stream/x"}) {
            const bool is_served = wait_until([&] {
                const auto id = fmt::format("again-{}-{}", gateway.id, number++);
                const auto call = fleet.make_call(target, id);
                record.on_sent(id, call.target, call.body);
                const auto reply = send_call(gateway.address, call);
                if (reply.ok()) {
                    record.on_answer(id, reply->status, reply->body);
                }
                return reply.ok() && reply->status == 200;
            });
            if (!is_served) {
                return false;
            }
        }
    }
    return true;
}

} // namespace

soak_result run_soak(const soak_options& options)
{
    gateway_fleet fleet({.gateways = options.gateways,
                         .engines = options.engines,
                         .services = options.services,
                         .has_store_relay = true,
                         // As deploy/system.toml starts them.
                         .sidecar_arguments = {"--placement=work", "--retention=demand"}});
    soak_result result;
    if (!fleet.wait_until_ready()) {
        result.violations.push_back("the fleet did not become ready");
        return result;
    }
    soak_record record;
    std::atomic<bool> is_stopping = false;
    std::vector<std::thread> callers;
    callers.reserve(options.callers);
    for (std::size_t i = 0; i < options.callers; ++i) {
        callers.emplace_back([&, i] {
            run_caller(fleet, options.seed * 1000 + i, fmt::format("c{}", i), is_stopping, record);
        });
    }
    fault_injector faults(fleet, options.seed);
    faults.run(options.length);
    is_stopping = true;
    for (auto& caller : callers) {
        caller.join();
    }
    const auto healed_at = std::chrono::steady_clock::now();
    if (!wait_until_serving(fleet, record)) {
        result.violations.push_back("the fleet did not recover after the last fault");
    }
    result.recovery =
        std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - healed_at);
    auto outputs = faults.outputs();
    for (const auto* group : {&fleet.engines, &fleet.services}) {
        for (const auto& member : *group) {
            outputs.push_back(member.process->output());
        }
    }
    for (auto& line : record.check(outputs)) {
        result.violations.push_back(std::move(line));
    }
    for (const auto* group : {&fleet.gateways, &fleet.sidecars}) {
        for (const auto& member : *group) {
            result.logs[member.id] = member.process->output();
        }
    }
    result.faults = faults.faults();
    result.totals = record.totals();
    return result;
}

} // namespace snipespar::testing
