#pragma once

#include "limits/limit_node.h"
#include "support/limit_oracle.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace snipespar::limits {

/// Faults of the fake network and platform, each as a percentage.
struct fleet_faults {
    std::uint32_t loss = 0;
    std::uint32_t duplicate = 0;
    std::uint32_t reorder = 0;
    std::uint32_t lost_answer = 0;

    friend bool operator==(const fleet_faults&, const fleet_faults&) = default;
};

/// Limit nodes of several hosts in virtual time, with a fake network and a fake platform. Each
/// granted request delivers its tokens in parts over its duration; the oracles see each part.
class limit_fleet {
public:
    limit_fleet(std::size_t hosts, std::vector<limit_spec> specs, std::uint64_t seed,
                limit_settings settings = {})
        : specs_(std::move(specs)), settings_(settings), random_(seed), processes_(hosts),
          tables_(settings.group_count)
    {
        for (const auto& spec : specs_) {
            oracles_.emplace(spec.id, limit_oracle(spec));
        }
        for (std::size_t host = 0; host < hosts; ++host) {
            start(host);
        }
        at(now_, [this] { update_list(); });
    }

    void run(duration time)
    {
        const time_point end = now_ + time;
        while (!events_.empty() && events_.begin()->first <= end) {
            auto event = events_.extract(events_.begin());
            now_ = event.key();
            event.mapped()();
        }
        now_ = end;
    }

    /// Submits a request to a host; false when the host cannot accept it now.
    bool admit(std::size_t host, const limit_id& limit, micro_tokens amount, duration length)
    {
        auto& process = processes_.at(host);
        if (!process.node || process.paused) {
            return false;
        }
        ++offered;
        const request_number number = ++requests_;
        process.requests[number] = {limit, amount, length};
        perform(host, process.node->admit(now_, number, limit, amount));
        return true;
    }

    void crash(std::size_t host)
    {
        auto& process = processes_.at(host);
        for (const auto& [number, request] : process.requests) {
            running_[request.limit] -= request.running;
        }
        process = {};
    }

    /// Starts a process with a fresh incarnation on a host without one.
    void start(std::size_t host)
    {
        auto& process = processes_.at(host);
        if (process.node) {
            return;
        }
        process.self = {host_id("host-" + std::to_string(host)), ++starts_};
        process.node = std::make_unique<limit_node>(process.self, settings_, now_);
        process.paused = false;
        process.last_run = now_;
        process.node->limits_changed(now_, specs_);
        if (outage) {
            process.node->members_listed(now_, live_members());
        }
        const auto self = process.self;
        later(duration(random(5000)), self, [this, host] { tick(host); });
        later(duration(random(5000)), self, [this, host] { read_list(host); });
    }

    void pause(std::size_t host) { processes_.at(host).paused = true; }

    void resume(std::size_t host)
    {
        auto& process = processes_.at(host);
        if (!process.node || !process.paused) {
            return;
        }
        process.paused = false;
        process.last_run = now_;
        auto events = std::exchange(process.deferred, {});
        for (auto& event : events) {
            later(duration(random(2000)), process.self, std::move(event));
        }
    }

    /// Partitions a host from all its peers, but not from the platform.
    void set_partitioned(std::size_t host, bool value) { processes_.at(host).partitioned = value; }

    void leave(std::size_t host) { processes_.at(host).leaving = true; }

    const limit_node* node(std::size_t host) const { return processes_.at(host).node.get(); }
    const limit_oracle& oracle(const limit_id& limit) const { return oracles_.at(limit); }
    time_point now() const { return now_; }
    std::uint64_t random(std::uint64_t below) { return random_() % below; }
    std::size_t hosts() const { return processes_.size(); }

    /// Largest excess over any limit, in rate and in concurrency.
    micro_tokens excess() const
    {
        micro_tokens result = worst_running_;
        for (const auto& spec : specs_) {
            if (spec.form == limit_form::rate) {
                result = std::max(result, oracles_.at(spec.id).excess());
            }
        }
        return result;
    }

    fleet_faults faults;
    bool outage = false;
    duration platform_delay = std::chrono::milliseconds(3);
    std::uint64_t offered = 0;
    std::uint64_t granted_count = 0;
    std::map<refusal_reason, std::uint64_t> refused_counts;
    std::vector<duration> retry_after;
    std::uint64_t messages = 0;
    std::uint64_t restarts = 0;
    std::uint64_t table_calls = 0;
    /// Called with each message before it is sent, for measurements.
    std::function<void(const peer_message&)> on_message;
    /// Called with each message on its arrival, to corrupt it.
    std::function<void(peer_message&)> corrupt;

private:
    struct request {
        limit_id limit;
        micro_tokens amount = 0;
        duration length{};
        micro_tokens running = 0;
        micro_tokens sent = 0;
    };

    struct process {
        incarnation self;
        std::unique_ptr<limit_node> node;
        bool paused = false;
        bool partitioned = false;
        bool leaving = false;
        time_point last_run;
        std::vector<std::function<void()>> deferred;
        std::map<request_number, request> requests;
    };

    static constexpr duration tick_interval = std::chrono::milliseconds(5);
    static constexpr duration list_interval = std::chrono::seconds(1);
    static constexpr duration update_interval = std::chrono::milliseconds(250);
    static constexpr duration lease = std::chrono::seconds(4);
    static constexpr std::uint64_t longest_list_lag_us = 2'000'000;
    static constexpr int delivery_parts = 4;

    void at(time_point time, std::function<void()> action)
    {
        events_.emplace(time, std::move(action));
    }

    bool chance(std::uint32_t percent) { return percent > 0 && random(100) < percent; }

    // Runs an action in one incarnation of a process; a paused process runs it after it resumes.
    void later(duration delay, const incarnation& self, std::function<void()> action)
    {
        at(now_ + delay, [this, self, action = std::move(action)] {
            for (auto& item : processes_) {
                if (item.node && item.self == self) {
                    if (item.paused) {
                        item.deferred.push_back(action);
                        return;
                    }
                    item.last_run = now_;
                    action();
                    return;
                }
            }
        });
    }

    std::vector<member> live_members() const
    {
        std::vector<member> result;
        for (std::size_t host = 0; host < processes_.size(); ++host) {
            const auto& item = processes_.at(host);
            if (item.node && (!item.paused || now_ - item.last_run < lease)) {
                const auto domain = "domain-" + std::to_string(host % 3);
                result.push_back({item.self, failure_domain_id(domain), item.leaving});
            }
        }
        return result;
    }

    // The peers at the connections of an unresponsive process end its work.
    void end_work_of_unresponsive_processes()
    {
        for (auto& item : processes_) {
            if (!item.paused || now_ - item.last_run < lease) {
                continue;
            }
            for (auto& [number, work] : item.requests) {
                running_[work.limit] -= std::exchange(work.running, 0);
            }
        }
    }

    void update_list()
    {
        end_work_of_unresponsive_processes();
        if (!outage) {
            lists_[now_] = live_members();
        }
        at(now_ + update_interval, [this] { update_list(); });
    }

    void read_list(std::size_t host)
    {
        auto& item = processes_.at(host);
        if (!outage) {
            const auto seen = lists_.upper_bound(now_ - duration(random(longest_list_lag_us)));
            if (seen != lists_.begin()) {
                perform(host, item.node->members_listed(now_, std::prev(seen)->second));
            }
        }
        if (item.node) {
            later(list_interval, item.self, [this, host] { read_list(host); });
        }
    }

    void tick(std::size_t host)
    {
        auto& item = processes_.at(host);
        const auto self = item.self;
        perform(host, item.node->tick(now_));
        later(tick_interval, self, [this, host] { tick(host); });
    }

    void perform(std::size_t host, limit_actions actions)
    {
        const auto self = processes_.at(host).self;
        for (auto& action : actions) {
            if (processes_.at(host).node && processes_.at(host).self == self) {
                std::visit([&](auto& value) { act(host, value); }, action);
            }
        }
    }

    void act(std::size_t host, const granted& value)
    {
        ++granted_count;
        auto& item = processes_.at(host).requests.at(value.request);
        item.running = item.amount;
        running_[item.limit] += item.amount;
        for (const auto& spec : specs_) {
            if (spec.id == item.limit && spec.form == limit_form::concurrency) {
                worst_running_ = std::max(worst_running_, running_[item.limit] - spec.capacity);
            }
        }
        deliver_later(host, value.request, item.length / delivery_parts);
    }

    void act(std::size_t host, const refused& value)
    {
        ++refused_counts[value.reason];
        retry_after.push_back(value.retry_after);
        processes_.at(host).requests.erase(value.request);
    }

    void act(std::size_t host, const send_message& value)
    {
        ++messages;
        if (on_message) {
            on_message(value.message);
        }
        const int copies = chance(faults.loss) ? 0 : chance(faults.duplicate) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            auto& arrival = arrivals_[{processes_.at(host).self, value.message.to}];
            arrival = std::max(arrival, now_ + duration(500 + random(500)));
            duration delay = arrival - now_;
            if (chance(faults.reorder)) {
                delay = duration(random(400'000));
            }
            later(delay, value.message.to, [this, host, message = value.message] {
                if (!processes_.at(host).partitioned) {
                    arrive(message);
                }
            });
        }
    }

    void arrive(peer_message message)
    {
        for (std::size_t host = 0; host < processes_.size(); ++host) {
            auto& item = processes_.at(host);
            if (item.node && item.self == message.to && !item.partitioned) {
                if (corrupt) {
                    corrupt(message);
                }
                perform(host, item.node->received(now_, message));
                return;
            }
        }
    }

    void act(std::size_t host, const read_table& value)
    {
        ++table_calls;
        const auto self = processes_.at(host).self;
        if (outage) {
            later(std::chrono::seconds(1), self, [this, host, value] {
                perform(host, processes_.at(host).node->table_read(now_, value, std::nullopt));
            });
            return;
        }
        at(now_ + platform_delay, [this, host, self, value] {
            const auto table = tables_.at(value.group);
            later(platform_delay, self, [this, host, value, table] {
                perform(host, processes_.at(host).node->table_read(now_, value, table));
            });
        });
    }

    void act(std::size_t host, const write_table& value)
    {
        ++table_calls;
        const auto self = processes_.at(host).self;
        const bool answered = !outage && !chance(faults.lost_answer);
        at(now_ + platform_delay, [this, host, self, value, answered] {
            auto outcome = write_outcome::conflict;
            auto& stored = tables_.at(value.group);
            if (!outage && stored.version == value.expected_version) {
                stored = {stored.version + 1, value.table};
                outcome = write_outcome::written;
            }
            later(platform_delay, self, [this, host, value, outcome, answered] {
                perform(host, processes_.at(host).node->table_written(
                                  now_, value.group, answered ? outcome : write_outcome::unknown));
            });
        });
    }

    void act(std::size_t /*host*/, const deliveries_suspended& /*value*/) {}
    void act(std::size_t /*host*/, const deliveries_resumed& /*value*/) {}

    void act(std::size_t host, const restart_required& /*value*/)
    {
        ++restarts;
        const bool leaving = processes_.at(host).leaving;
        const bool was_partitioned = processes_.at(host).partitioned;
        crash(host);
        start(host);
        processes_.at(host).leaving = leaving;
        processes_.at(host).partitioned = was_partitioned;
    }

    void deliver_later(std::size_t host, request_number number, duration step)
    {
        later(step, processes_.at(host).self, [this, host, number, step] {
            auto& item = processes_.at(host);
            auto& work = item.requests.at(number);
            if (item.node->suspended(now_)) {
                deliver_later(host, number, std::max<duration>(step, std::chrono::milliseconds(5)));
                return;
            }
            const micro_tokens part =
                std::min(work.amount - work.sent, work.amount / delivery_parts + 1);
            const bool rate = rate_form(work.limit);
            if (rate) {
                oracles_.at(work.limit).deliver(now_, item.node->delivered(now_, number, part));
            }
            work.sent += part;
            if (work.sent < work.amount) {
                deliver_later(host, number, step);
                return;
            }
            running_[work.limit] -= work.running;
            item.requests.erase(number);
            perform(host, item.node->finished(now_, number));
        });
    }

    bool rate_form(const limit_id& limit) const
    {
        for (const auto& spec : specs_) {
            if (spec.id == limit) {
                return spec.form == limit_form::rate;
            }
        }
        return false;
    }

    std::vector<limit_spec> specs_;
    limit_settings settings_;
    std::mt19937_64 random_;
    std::vector<process> processes_;
    std::vector<versioned_table> tables_;
    std::map<time_point, std::vector<member>> lists_;
    std::multimap<time_point, std::function<void()>> events_;
    /// Latest in-order arrival on each link.
    std::map<std::pair<incarnation, incarnation>, time_point> arrivals_;
    std::map<limit_id, limit_oracle> oracles_;
    std::map<limit_id, micro_tokens> running_;
    micro_tokens worst_running_ = -max_amount;
    time_point now_{std::chrono::seconds(100)};
    request_number requests_ = 0;
    std::uint64_t starts_ = 0;
};

} // namespace snipespar::limits
