#pragma once

#include "agent/scheduler.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace snipespar {

/// How the upstream behind a scheduler misbehaves.
struct upstream_faults {
    /// Parts in a hundred.
    std::uint32_t failed_loads = 0;
    std::uint32_t failed_runs = 0;
    std::uint32_t refused_permits = 0;
    std::uint32_t deaths = 0;
    std::uint32_t cold_restarts = 0;
    std::uint32_t cancels = 0;
    /// Orders of a second orderer, with an old fencing number, that the upstream obeys.
    std::uint32_t foreign_orders = 0;
    bool checks_fencing = false;
};

/// What was seen that must never be.
struct upstream_violations {
    int evicted_while_pinned = 0;
    int run_without_adapter = 0;
    int over_max_running = 0;
    int over_slots = 0;
    int refused_after_run = 0;
    int final_answers_missing = 0;
    int final_answers_doubled = 0;

    friend bool operator==(const upstream_violations&, const upstream_violations&) = default;
    friend std::ostream& operator<<(std::ostream& out, const upstream_violations& seen)
    {
        return out << "evicted while pinned " << seen.evicted_while_pinned
                   << ", run without adapter " << seen.run_without_adapter << ", over max running "
                   << seen.over_max_running << ", over slots " << seen.over_slots
                   << ", refused after run " << seen.refused_after_run << ", answers missing "
                   << seen.final_answers_missing << ", doubled " << seen.final_answers_doubled;
    }
};

/// A scheduler with a fake engine, permit limit and callers, in virtual time.
class fake_upstream {
public:
    fake_upstream(agent::scheduler_options options, upstream_faults faults, std::uint64_t seed)
        : options_(options), faults_(faults), random_(seed), scheduler_(options),
          loses_adapters_(faults.foreign_orders + faults.cold_restarts > 0)
    {
        carry_out(scheduler_.start(now_));
    }

    void request(agent::work_item item)
    {
        item.id = ++last_id_;
        requests_[item.id] = {item, 0, false};
        carry_out(scheduler_.on_request(item, now_));
    }

    /// Lets time pass, with whatever ends in it and the faults that fall into it.
    void pass(duration time)
    {
        constexpr duration step = std::chrono::milliseconds(10);
        for (const auto end = now_ + time; now_ < end;) {
            now_ += step;
            bring_faults();
            end_due();
            carry_out(scheduler_.on_tick(now_));
        }
    }

    /// Lets everything end without further faults, and counts the answers.
    upstream_violations finish()
    {
        faults_ = {.checks_fencing = faults_.checks_fencing};
        pass(std::chrono::seconds(120));
        for (const auto& [id, request] : requests_) {
            violations_.final_answers_missing += request.finals == 0 && !request.cancelled;
            violations_.final_answers_doubled += request.finals > 1;
        }
        return violations_;
    }

    time_point now() const { return now_; }
    agent::scheduler& decisions() { return scheduler_; }
    const upstream_violations& violations() const { return violations_; }
    const std::map<team_id, std::uint64_t>& tokens() const { return tokens_; }
    const std::vector<agent::refuse>& refusals() const { return refusals_; }
    const std::vector<agent::fail>& failures() const { return failures_; }
    std::size_t completed() const { return completed_; }
    const std::set<adapter_ref>& held() const { return held_; }
    std::uint32_t evictions() const { return evictions_; }
    std::set<agent::request_number> running() const
    {
        std::set<agent::request_number> ids;
        for (const auto& [id, end] : running_) {
            ids.insert(id);
        }
        return ids;
    }
    std::map<agent::request_number, time_point> started;

    void die()
    {
        ++incarnation_;
        held_.clear();
        orders_.clear();
        running_.clear();
        carry_out(scheduler_.on_upstream_crashed(now_));
        down_until_ = now_ + std::chrono::milliseconds(500);
    }

    /// Restarts without the agent seeing the end of the process.
    void restart_cold()
    {
        ++incarnation_;
        held_.clear();
        const auto orders = std::exchange(orders_, {});
        for (const auto& [id, end] : std::exchange(running_, {})) {
            carry_out(scheduler_.on_failed(id, true, now_));
        }
        for (const auto& lost : orders) {
            carry_out(lost.load ? scheduler_.on_load_done(lost.adapter, lost.fence, false, now_)
                                : scheduler_.on_evict_done(lost.adapter, lost.fence, false, now_));
        }
        read();
    }

    /// An order that this agent did not give, with an old fencing number.
    void foreign_evict(const adapter_ref& adapter)
    {
        if (!options_.residency.checks_fencing) {
            held_.erase(adapter);
        }
    }

    void read() { reads_.push_back(now_); }

private:
    struct request_entry {
        agent::work_item item;
        int finals = 0;
        bool cancelled = false;
    };
    struct order {
        adapter_ref adapter;
        agent::fencing_number fence = 0;
        bool load = false;
        time_point end;
    };

    bool happens(std::uint32_t percent) { return percent > 0 && random_() % 100 < percent; }

    void bring_faults()
    {
        if (happens(faults_.deaths) && !down_until_) {
            die();
        }
        if (happens(faults_.cold_restarts) && !down_until_) {
            restart_cold();
        }
        if (happens(faults_.foreign_orders) && !held_.empty()) {
            foreign_evict(*std::next(held_.begin(), static_cast<long>(random_() % held_.size())));
        }
        if (happens(faults_.cancels) && last_id_ > 0) {
            const auto id = 1 + random_() % last_id_;
            const bool open = requests_[id].finals == 0;
            requests_[id].cancelled = requests_[id].cancelled || open;
            carry_out(scheduler_.on_cancel(id, now_));
        }
    }

    void end_due()
    {
        if (down_until_ && now_ >= *down_until_) {
            down_until_.reset();
            read();
        }
        for (const auto asked_at : std::exchange(reads_, {})) {
            if (!down_until_) {
                carry_out(scheduler_.on_upstream_read(incarnation_, held_, asked_at, now_));
            }
        }
        end_due_orders();
        end_due_runs();
    }

    void end_due_orders()
    {
        const auto due = [this](const order& entry) { return entry.end <= now_; };
        std::vector<order> ended;
        std::ranges::copy_if(orders_, std::back_inserter(ended), due);
        std::erase_if(orders_, due);
        for (const auto& entry : ended) {
            entry.load ? end_load(entry) : end_evict(entry);
        }
    }

    void end_load(const order& entry)
    {
        const bool full = held_.size() >= options_.residency.slots;
        const bool ok = !happens(faults_.failed_loads) && (!full || held_.contains(entry.adapter));
        violations_.over_slots += full && !held_.contains(entry.adapter) ? 1 : 0;
        if (ok) {
            held_.insert(entry.adapter);
        }
        carry_out(scheduler_.on_load_done(entry.adapter, entry.fence, ok, now_));
    }

    void end_evict(const order& entry)
    {
        held_.erase(entry.adapter);
        const bool answer_lost = happens(faults_.failed_loads);
        carry_out(scheduler_.on_evict_done(entry.adapter, entry.fence, !answer_lost, now_));
    }

    void end_due_runs()
    {
        std::vector<agent::request_number> due;
        for (const auto& [id, end] : running_) {
            if (end <= now_) {
                due.push_back(id);
            }
        }
        for (const auto id : due) {
            const auto& item = requests_[id].item;
            running_.erase(id);
            const bool lost = item.adapter && !held_.contains(*item.adapter);
            if (lost || happens(faults_.failed_runs)) {
                carry_out(scheduler_.on_failed(id, true, now_));
                continue;
            }
            const std::string model = item.adapter ? item.adapter->str() : "";
            carry_out(scheduler_.on_first_byte(id, model, now_));
            tokens_[item.team] += item.cost();
            carry_out(scheduler_.on_done(id, model, item.cost(), now_));
        }
    }

    void carry_out(const agent::scheduler_actions& actions)
    {
        for (const auto& action : actions) {
            std::visit([this](const auto& value) { act(value); }, action);
        }
    }

    void act(const agent::run& action)
    {
        const auto& item = requests_[action.id].item;
        const bool absent = item.adapter && !held_.contains(*item.adapter);
        violations_.run_without_adapter += absent && !loses_adapters_ ? 1 : 0;
        started[action.id] = now_;
        running_[action.id] = now_ + std::chrono::microseconds(item.cost() * 1000);
        violations_.over_max_running += running_.size() > options_.max_running ? 1 : 0;
    }

    void act(const agent::cancel_run& action)
    {
        if (running_.erase(action.id) > 0) {
            ended_early_.push_back(action.id);
        }
        for (const auto id : std::exchange(ended_early_, {})) {
            carry_out(scheduler_.on_failed(id, true, now_));
        }
    }

    void act(const agent::complete& action)
    {
        ++requests_[action.id].finals;
        ++completed_;
    }

    void act(const agent::refuse& action)
    {
        ++requests_[action.id].finals;
        violations_.refused_after_run += started.contains(action.id) ? 1 : 0;
        refusals_.push_back(action);
    }

    void act(const agent::fail& action)
    {
        ++requests_[action.id].finals;
        failures_.push_back(action);
    }

    void act(const agent::load_adapter& action)
    {
        orders_.push_back(
            {action.adapter, action.fence, true, now_ + std::chrono::milliseconds(250)});
    }

    void act(const agent::evict_adapter& action)
    {
        for (const auto& [id, end] : running_) {
            violations_.evicted_while_pinned += requests_[id].item.adapter == action.adapter;
        }
        ++evictions_;
        orders_.push_back(
            {action.adapter, action.fence, false, now_ + std::chrono::milliseconds(10)});
    }

    void act(const agent::raise_fence&) { carry_out(scheduler_.on_fence_raised(now_)); }
    void act(const agent::read_upstream&) { read(); }

    void act(const agent::ask_load_permit& action)
    {
        const bool granted = !happens(faults_.refused_permits);
        carry_out(scheduler_.on_load_permit(action.adapter, granted, std::chrono::milliseconds(100),
                                            now_));
    }

    void act(const agent::release_load_permit&) {}
    void act(const agent::report_crash&) {}
    void act(const agent::announce&) {}

    agent::scheduler_options options_;
    upstream_faults faults_;
    std::mt19937_64 random_;
    agent::scheduler scheduler_;
    /// Whether adapters vanish from the engine without this agent's doing.
    bool loses_adapters_;
    time_point now_{};
    std::uint64_t incarnation_ = 1;
    agent::request_number last_id_ = 0;
    std::map<agent::request_number, request_entry> requests_;
    std::map<agent::request_number, time_point> running_;
    std::vector<agent::request_number> ended_early_;
    std::vector<order> orders_;
    std::vector<time_point> reads_;
    std::optional<time_point> down_until_;
    std::set<adapter_ref> held_;
    std::map<team_id, std::uint64_t> tokens_;
    std::vector<agent::refuse> refusals_;
    std::vector<agent::fail> failures_;
    std::size_t completed_ = 0;
    std::uint32_t evictions_ = 0;
    upstream_violations violations_;
};

} // namespace snipespar
