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

/// Followers, operators and a platform in virtual time, with seeded delays and faults.
class config_fleet {
public:
    struct process {
        std::unique_ptr<follower> logic;
        host_id host;
        bool cut_from_platform = false;
        bool cut_from_peers = false;
        bool paused = false;
        bool is_entry = true;
        /// Versions in the order in which they came into force.
        std::vector<std::uint64_t> adopted;
        std::vector<std::function<void()>> held_back;
    };

    explicit config_fleet(std::uint64_t seed) : random_(seed) {}

    static constexpr const char* environment = "trial";
    stand_in::object_table platform;

    time_point now() const { return now_; }
    process& at(std::size_t index) { return *processes_.at(index); }
    std::size_t size() const { return processes_.size(); }

    /// Starts `entries` entries, one failure domain each of three in turn, and `agents` agents.
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

    /// Replaces a process by a new one that knows nothing.
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
        const auto life = ++lives_[index];
        for (std::size_t peer = 0; peer < size(); ++peer) {
            if (peer != index && (item.is_entry || at(peer).is_entry)) {
                perform(index, item.logic->on_peer_up(at(peer).host, now_));
                if (at(peer).logic) {
                    perform(peer, at(peer).logic->on_peer_up(item.host, now_));
                }
            }
        }
        tick(index, life);
    }

    /// Freezes a process; what reaches it waits until it wakes.
    void pause(std::size_t index) { at(index).paused = true; }

    void wake(std::size_t index)
    {
        auto& item = at(index);
        item.paused = false;
        for (auto& step : std::exchange(item.held_back, {})) {
            step();
        }
    }

    /// Runs a change to its end, one platform call at a time with random delays.
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

    void later(duration delay, std::function<void()> action)
    {
        queue_.emplace(now_ + delay, std::move(action));
    }

    duration random_delay(std::int64_t longest_ms = 20)
    {
        std::uniform_int_distribution<std::int64_t> spread(100, longest_ms * 1000);
        return duration(spread(random_));
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
        later(random_delay(), [this, item] {
            auto reply = platform.perform(*item->next());
            later(random_delay(), [this, item, reply] {
                item->on_reply(reply);
                step(item);
            });
        });
    }

    // Runs `action` in a life of a process: now, when it wakes, or never if it was replaced.
    void in_process(std::size_t index, std::uint64_t life, const std::function<void()>& action)
    {
        if (lives_[index] != life) {
            return;
        }
        if (at(index).paused) {
            at(index).held_back.push_back(
                [this, index, life, action] { in_process(index, life, action); });
            return;
        }
        action();
    }

    void tick(std::size_t index, std::uint64_t life)
    {
        in_process(index, life, [this, index, life] {
            perform(index, at(index).logic->on_tick(now_));
            later(tick_interval, [this, index, life] { tick(index, life); });
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
        watch(index, lives_[index], action, now_, now_ + action.wait);
    }

    // Looks at the root every few milliseconds until it changed or the wait is over.
    void watch(std::size_t index, std::uint64_t life, const watch_root& action, time_point sent,
               time_point end)
    {
        later(random_delay(), [this, index, life, action, sent, end] {
            const store::watch_object call{root_key(environment), action.after, action.wait};
            const bool is_cut = at(index).cut_from_platform;
            const auto reply = is_cut ? store::object_reply{absl::UnavailableError("cut"), {}, {}}
                                      : platform.perform(call);
            if (reply.status.ok() && reply.objects.empty() && now_ < end) {
                return watch(index, life, action, sent, end);
            }
            in_process(index, life, [this, index, reply, sent] {
                auto& logic = *at(index).logic;
                if (!reply.status.ok()) {
                    return logic.on_watch_failed(now_);
                }
                const auto changed =
                    reply.objects.empty() ? std::nullopt : std::optional(reply.objects.front());
                perform(index, logic.on_watched(changed, sent, now_));
            });
        });
    }

    // Runs `ask` in the peer and then `answer` here, unless either is cut off or gone.
    void exchange(std::size_t index, const host_id& peer,
                  const std::function<std::function<void()>(follower&)>& ask)
    {
        const auto other = index_of(peer);
        const auto own_life = lives_[index];
        const auto other_life = lives_[other];
        later(random_delay(), [=, this] {
            if (at(index).cut_from_peers || at(other).cut_from_peers) {
                return;
            }
            in_process(other, other_life, [=, this] {
                const auto answer = ask(*at(other).logic);
                later(random_delay(), [=, this] { in_process(index, own_life, answer); });
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
        later(random_delay(), [this, index, action, life = lives_[index]] {
            const auto reply =
                platform.perform(store::get_object{part_key(environment, action.sha256)});
            if (!at(index).cut_from_platform && reply.status.ok()) {
                in_process(index, life, [this, index, action, reply] {
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
    std::map<std::size_t, std::uint64_t> lives_;
    std::uint64_t nonces_ = 0;
};

} // namespace snipespar::config
