#pragma once

#include "../tools/platform_stand_in/object_table.h"
#include "config/follower.h"
#include "config/publisher.h"
#include "config/snapshot.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace snipespar::config {

/// Simulates followers, operators and a platform in virtual time, with seeded delays and faults.
class config_fleet {
public:
    struct process {
        std::unique_ptr<follower> logic;
        host_id host;
        bool isolated_from_platform = false;
        bool isolated_from_peers = false;
        bool paused = false;
        bool is_entry = true;
        /// Versions in the order of their adoption.
        std::vector<std::uint64_t> adopted;
        std::vector<std::function<void()>> deferred;
    };

    explicit config_fleet(std::uint64_t seed) : random_(seed) {}

    static constexpr const char* environment = "trial";
    stand_in::object_table platform;

    time_point now() const { return now_; }
    process& at(std::size_t index) { return *processes_.at(index); }
    std::size_t size() const { return processes_.size(); }

    /// Starts `entries` entries, spread round-robin over three failure domains, and `agents`
    /// agents.
    void start(std::size_t entries, std::size_t agents)
    {
        for (std::size_t i = 0; i < entries + agents; ++i) {
            auto item = std::make_unique<process>();
            item->host = host_id("p" + std::to_string(i));
            item->is_entry = i < entries;
            processes_.push_back(std::move(item));
            if (i < entries) {
                members_.push_back(
                    {processes_.back()->host, failure_domain_id("d" + std::to_string(i % 3))});
            }
        }
        for (std::size_t i = 0; i < processes_.size(); ++i) {
            restart(i);
        }
    }

    /// Replaces a process by a new incarnation without any state.
    void restart(std::size_t index)
    {
        auto& item = at(index);
        follower_settings settings;
        settings.self = item.host;
        settings.environment = environment;
        settings.watches_platform = item.is_entry;
        settings.seed = random_();
        item.logic = std::make_unique<follower>(settings);
        item.logic->set_members(members_);
        item.adopted.clear();
        const auto start_number = ++start_numbers_[index];
        for (std::size_t peer = 0; peer < size(); ++peer) {
            if (peer != index && (item.is_entry || at(peer).is_entry)) {
                perform(index, item.logic->on_peer_up(at(peer).host, now_));
                if (at(peer).logic) {
                    perform(peer, at(peer).logic->on_peer_up(item.host, now_));
                }
            }
        }
        tick(index, start_number);
    }

    /// Pauses a process; its events are deferred until it resumes.
    void pause(std::size_t index) { at(index).paused = true; }

    void resume(std::size_t index)
    {
        auto& item = at(index);
        item.paused = false;
        for (auto& step : std::exchange(item.deferred, {})) {
            step();
        }
    }

    /// Publishes a change, one platform call at a time with random delays.
    std::shared_ptr<publisher> publish(publisher::change_function change,
                                       std::size_t max_part_bytes = 100'000)
    {
        auto item = std::make_shared<publisher>(environment, "nonce" + std::to_string(++nonces_),
                                                std::move(change), max_part_bytes);
        step(item);
        return item;
    }

    void run_for(duration span)
    {
        const auto end = now_ + span;
        while (!queue_.empty() && queue_.begin()->first <= end) {
            auto next = queue_.extract(queue_.begin());
            now_ = next.key();
            next.mapped()();
        }
        now_ = end;
    }

    void schedule(duration delay, std::function<void()> action)
    {
        queue_.emplace(now_ + delay, std::move(action));
    }

    duration random_delay(std::int64_t longest_ms = 20)
    {
        std::uniform_int_distribution<std::int64_t> distribution(100, longest_ms * 1000);
        return duration(distribution(random_));
    }

    bool all_at(std::uint64_t version)
    {
        return std::ranges::all_of(
            processes_, [&](const auto& item) { return item->logic->version() == version; });
    }

private:
    static constexpr duration tick_interval = std::chrono::milliseconds(200);

    void step(const std::shared_ptr<publisher>& item)
    {
        if (!item->next()) {
            return;
        }
        schedule(random_delay(), [this, item] {
            auto reply = platform.perform(*item->next());
            schedule(random_delay(), [this, item, reply] {
                item->on_reply(reply);
                step(item);
            });
        });
    }

    // Runs `action` in one incarnation of a process: now, when it resumes, or never if the process
    // was replaced.
    void in_process(std::size_t index, std::uint64_t start_number,
                    const std::function<void()>& action)
    {
        if (start_numbers_[index] != start_number) {
            return;
        }
        if (at(index).paused) {
            at(index).deferred.push_back(
                [this, index, start_number, action] { in_process(index, start_number, action); });
            return;
        }
        action();
    }

    void tick(std::size_t index, std::uint64_t start_number)
    {
        in_process(index, start_number, [this, index, start_number] {
            perform(index, at(index).logic->on_tick(now_));
            schedule(tick_interval, [this, index, start_number] { tick(index, start_number); });
        });
    }

    void perform(std::size_t index, const follower_actions& actions)
    {
        for (const auto& action : actions) {
            std::visit([&](const auto& item) { act(index, item); }, action);
        }
    }

    void act(std::size_t index, const watch_root& action)
    {
        watch(index, start_numbers_[index], action, now_, now_ + action.wait);
    }

    // Polls the root every few milliseconds until it changes or the wait ends.
    void watch(std::size_t index, std::uint64_t start_number, const watch_root& action,
               time_point sent, time_point end)
    {
        schedule(random_delay(), [this, index, start_number, action, sent, end] {
            const store::watch_object call{root_key(environment), action.after, action.wait};
            const bool is_isolated = at(index).isolated_from_platform;
            const auto reply = is_isolated
                                   ? store::object_reply{absl::UnavailableError("cut"), {}, {}}
                                   : platform.perform(call);
            if (reply.status.ok() && reply.objects.empty() && now_ < end) {
                return watch(index, start_number, action, sent, end);
            }
            in_process(index, start_number, [this, index, reply, sent] {
                auto& logic = *at(index).logic;
                if (!reply.status.ok()) {
                    return logic.on_watch_failed(now_);
                }
                const auto changed =
                    reply.objects.empty() ? std::nullopt : std::optional(reply.objects.front());
                perform(index, logic.on_watch_result(changed, sent, now_));
            });
        });
    }

    // Runs `ask` in the peer and then its result here, unless either is isolated or was replaced.
    void exchange(std::size_t index, const host_id& peer,
                  const std::function<std::function<void()>(follower&)>& query)
    {
        const auto other = index_of(peer);
        const auto own_start = start_numbers_[index];
        const auto other_start = start_numbers_[other];
        schedule(random_delay(), [=, this] {
            if (at(index).isolated_from_peers || at(other).isolated_from_peers) {
                return;
            }
            in_process(other, other_start, [=, this] {
                const auto result = query(*at(other).logic);
                schedule(random_delay(), [=, this] { in_process(index, own_start, result); });
            });
        });
    }

    void act(std::size_t index, const query_peer& action)
    {
        exchange(index, action.peer, [this, index, action, sent = now_](follower& other) {
            return [this, index, action, sent, report = other.report(now_)] {
                perform(index, at(index).logic->on_report(action.peer, report, sent, now_));
            };
        });
    }

    void act(std::size_t index, const fetch_root& action)
    {
        exchange(index, action.peer, [this, index, action](follower& other) {
            return [this, index, action, text = other.root_text()] {
                perform(index, at(index).logic->on_root(action.peer, text, now_));
            };
        });
    }

    void act(std::size_t index, const fetch_part& action)
    {
        if (!action.peer.empty()) {
            return exchange(index, action.peer, [this, index, action](follower& other) {
                const auto* found = other.part(action.sha256);
                return [this, index, action, bytes = found == nullptr ? "" : *found] {
                    perform(index, at(index).logic->on_part(action.sha256, bytes, now_));
                };
            });
        }
        schedule(random_delay(), [this, index, action, start_number = start_numbers_[index]] {
            const auto reply =
                platform.perform(store::get_object{part_key(environment, action.sha256)});
            if (!at(index).isolated_from_platform && reply.status.ok()) {
                in_process(index, start_number, [this, index, action, reply] {
                    perform(index, at(index).logic->on_part(action.sha256,
                                                            reply.objects.front().value, now_));
                });
            }
        });
    }

    void act(std::size_t index, const adopt& action)
    {
        at(index).adopted.push_back(action.config->version);
    }

    std::size_t index_of(const host_id& host) const
    {
        return static_cast<std::size_t>(std::stoul(host.str().substr(1)));
    }

    std::mt19937_64 random_;
    time_point now_{std::chrono::hours(1)};
    std::multimap<time_point, std::function<void()>> queue_;
    std::vector<std::unique_ptr<process>> processes_;
    std::vector<member> members_;
    std::map<std::size_t, std::uint64_t> start_numbers_;
    std::uint64_t nonces_ = 0;
};

} // namespace snipespar::config
