#pragma once

#include "claims/claim_codec.h"
#include "claims/claim_service.h"

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace snipespar::claims {

/// Several entries with their claims, callers that repeat their keys at any of them, a platform
/// that goes out and loses answers, and a network that loses, doubles and delays messages. One
/// seeded engine decides what happens next, and executions are counted for each key.
class claim_fleet {
public:
    static constexpr int entry_count = 3;

    struct faults {
        bool outages = true;
        bool lost_answers = true;
        bool crashes = true;
        bool pauses = true;
        bool bad_network = true;
    };

    claim_fleet(std::uint64_t seed, faults allowed, claim_limits limits)
        : random_(seed), allowed_(allowed), limits_(limits)
    {
        for (int i = 0; i < entry_count; ++i) {
            start_entry(i);
        }
        link_all();
    }

    /// Lets `count` random things happen.
    void run(int count)
    {
        for (int i = 0; i < count; ++i) {
            step();
        }
    }

    /// Ends all faults and lets everything under way come to rest.
    void settle()
    {
        outage_ = false;
        allowed_ = {false, false, false, false, false};
        for (auto& entry : entries_) {
            entry.paused = false;
        }
        link_all();
        for (int i = 0; i < settle_rounds; ++i) {
            finish_running();
            drain();
            pass(std::chrono::milliseconds(250));
        }
        drain();
    }

    /// The caller sends the key through one entry, and learns the decision.
    claim_decision call(int entry, int key, int body = 0)
    {
        const auto nonce = begin(entry, key, body);
        for (int i = 0; i < settle_rounds && !decisions_.contains(nonce); ++i) {
            drain();
            pass(std::chrono::milliseconds(50));
        }
        check(decisions_.contains(nonce), "claim without an answer");
        return decisions_.at(nonce);
    }

    claim_nonce begin(int entry, int key, int body = 0)
    {
        auto begun = at(entry).service->begin(
            scoped_key(team_id("t"), route_id("r"), std::to_string(key)),
            request_fingerprint("POST", "/reserve", std::to_string(body)), now());
        keys_[begun.nonce] = key;
        at(entry).waiting.insert(begun.nonce);
        apply(entry, std::move(begun.actions));
        return begun.nonce;
    }

    /// Ends a granted call: it ran, or is known not to have run, or nobody knows.
    void finish(int entry, const claim_nonce& nonce, run_state ran)
    {
        at(entry).running.erase(nonce);
        std::optional<recorded_answer> answer;
        if (ran == run_state::ran) {
            execute(nonce);
            answer = answer_of(keys_.at(nonce));
        }
        apply(entry, at(entry).service->finish(nonce, ran, answer, now()));
    }

    static recorded_answer answer_of(int key)
    {
        const std::string body = "answer " + std::to_string(key);
        return {201, "text/plain", digest_of(body), body};
    }

    void crash(int entry)
    {
        for (const auto& nonce : at(entry).waiting) {
            orphaned_.insert(keys_.at(nonce));
        }
        for (const auto& nonce : at(entry).running) {
            orphaned_.insert(keys_.at(nonce));
        }
        for (const auto& nonce : at(entry).unsettled) {
            orphaned_.insert(keys_.at(nonce));
        }
        start_entry(entry);
        link_all();
    }

    void pause(int entry, bool paused)
    {
        at(entry).paused = paused;
        link_all();
    }
    void set_outage(bool out) { outage_ = out; }
    void pass(duration span)
    {
        clock_ += span;
        for (int i = 0; i < entry_count; ++i) {
            if (!at(i).paused) {
                apply(i, at(i).service->on_tick(now()));
            }
        }
    }

    /// Delivers everything that is under way.
    void drain()
    {
        for (int i = 0; i < drain_limit && (!calls_.empty() || !mail_.empty()); ++i) {
            if (!calls_.empty()) {
                answer_platform(0);
            }
            else {
                deliver_mail(0);
            }
        }
    }

    int executions(int key) const
    {
        const auto it = executions_.find(key);
        return it == executions_.end() ? 0 : it->second;
    }
    /// Whether an entry died that alone knew how a claim of the key ended.
    bool orphaned(int key) const { return orphaned_.contains(key); }
    std::uint64_t writes() const { return writes_; }
    const claim_service& service(int entry) { return *at(entry).service; }
    static constexpr int key_count = 3;

private:
    struct entry_state {
        std::optional<claim_service> service;
        std::uint64_t start = 0;
        bool paused = false;
        std::set<claim_nonce> waiting;
        std::set<claim_nonce> running;
        /// Claims whose end this entry may still have to record.
        std::set<claim_nonce> unsettled;
    };
    struct platform_call {
        int entry;
        std::uint64_t start;
        std::variant<read_object, write_object> call;
    };
    struct stored_object {
        std::uint64_t version = 0;
        std::string text;
    };
    struct mail {
        int from;
        int to;
        nlohmann::json message;
    };
    static constexpr int settle_rounds = 80;
    static constexpr int drain_limit = 20000;

    static void check(bool condition, const char* what)
    {
        if (!condition) {
            throw std::logic_error(what);
        }
    }

    instant now() const
    {
        const auto wall = wall_time(std::chrono::hours(400000)) +
                          std::chrono::duration_cast<std::chrono::milliseconds>(clock_);
        return {time_point(clock_), wall};
    }

    entry_state& at(int entry) { return entries_.at(static_cast<std::size_t>(entry)); }
    static host_id host(int entry) { return host_id("entry" + std::to_string(entry)); }
    int pick(int count) { return std::uniform_int_distribution<int>(0, count - 1)(random_); }
    bool chance(int percent) { return pick(100) < percent; }

    void start_entry(int entry)
    {
        entry_state fresh;
        fresh.start = ++starts_;
        fresh.service.emplace(incarnation{host(entry), fresh.start}, limits_);
        at(entry) = std::move(fresh);
    }

    void link_all()
    {
        for (int i = 0; i < entry_count; ++i) {
            std::set<host_id> peers;
            for (int other = 0; other < entry_count; ++other) {
                if (other != i && !at(other).paused) {
                    peers.insert(host(other));
                }
            }
            if (!at(i).paused) {
                apply(i, at(i).service->set_peers(peers, now()));
            }
        }
    }

    void step()
    {
        switch (pick(12)) {
        case 0:
        case 1:
            begin_random();
            break;
        case 2:
        case 3:
            finish_random();
            break;
        case 4:
        case 5:
            answer_platform_random();
            break;
        case 6:
        case 7:
            deliver_random();
            break;
        case 8:
            pass(std::chrono::milliseconds(pick(400)));
            break;
        case 9:
            outage_ = allowed_.outages && chance(30);
            break;
        case 10:
            crash_random();
            break;
        default:
            pause_random();
            break;
        }
    }

    void begin_random()
    {
        const int entry = pick(entry_count);
        if (!at(entry).paused) {
            begin(entry, pick(key_count));
        }
    }

    void finish_random()
    {
        const int entry = pick(entry_count);
        if (at(entry).running.empty() || at(entry).paused) {
            return;
        }
        const claim_nonce nonce = *at(entry).running.begin();
        if (chance(20)) {
            execute(nonce);
            finish(entry, nonce, run_state::unknown);
            return;
        }
        finish(entry, nonce, chance(50) ? run_state::ran : run_state::not_run);
    }

    void finish_running()
    {
        for (int i = 0; i < entry_count; ++i) {
            while (!at(i).running.empty()) {
                const claim_nonce nonce = *at(i).running.begin();
                finish(i, nonce, run_state::ran);
            }
        }
    }

    void crash_random()
    {
        if (!allowed_.crashes || !chance(30)) {
            return;
        }
        const int entry = pick(entry_count);
        if (chance(50) && !at(entry).running.empty()) {
            execute(*at(entry).running.begin());
        }
        crash(entry);
    }

    void pause_random()
    {
        const int entry = pick(entry_count);
        if (at(entry).paused || (allowed_.pauses && chance(30))) {
            pause(entry, !at(entry).paused);
        }
    }

    void execute(const claim_nonce& nonce)
    {
        const int key = keys_.at(nonce);
        check(++executions_[key] == 1, "executed twice");
    }

    void answer_platform_random()
    {
        if (calls_.empty()) {
            return;
        }
        answer_platform(pick(static_cast<int>(calls_.size())));
    }

    void answer_platform(int index)
    {
        const auto position = calls_.begin() + index;
        const platform_call call = std::move(*position);
        calls_.erase(position);
        if (const auto* read = std::get_if<read_object>(&call.call)) {
            answer_read(call, *read);
            return;
        }
        answer_write(call, std::get<write_object>(call.call));
    }

    bool listens(const platform_call& call)
    {
        return at(call.entry).start == call.start && !at(call.entry).paused;
    }

    void answer_read(const platform_call& call, const read_object& read)
    {
        if (at(call.entry).start != call.start) {
            return;
        }
        if (at(call.entry).paused) {
            calls_.push_back(call);
            return;
        }
        read_result result;
        const auto it = objects_.find(read.location);
        if (!outage_) {
            result.status = it == objects_.end() ? read_status::absent : read_status::found;
        }
        if (result.status == read_status::found) {
            result.version = it->second.version;
            auto value = decode_object(nlohmann::json::parse(it->second.text));
            check(value.ok(), "unreadable journal object");
            result.value = *std::move(value);
        }
        apply(call.entry,
              at(call.entry)
                  .service->on_read(read.location.partition, read.operation, result, now()));
    }

    // A write may be answered as unknown and take effect before, later or never.
    void answer_write(const platform_call& call, const write_object& write)
    {
        const bool lose = allowed_.lost_answers && chance(25);
        if (lose && chance(50)) {
            late_writes_.push_back(write);
        }
        else if (!lose || chance(50)) {
            if (!outage_) {
                report(call, write, store(write));
                return;
            }
            report(call, write, {write_status::unavailable, 0});
            return;
        }
        report(call, write, {write_status::unknown, 0});
        if (!late_writes_.empty() && chance(50)) {
            store(late_writes_.front());
            late_writes_.pop_front();
        }
    }

    void report(const platform_call& call, const write_object& write, write_result result)
    {
        if (allowed_.lost_answers && chance(10)) {
            result = {write_status::unknown, 0};
        }
        if (at(call.entry).start == call.start) {
            apply(call.entry,
                  at(call.entry)
                      .service->on_write(write.location.partition, write.operation, result, now()));
        }
    }

    write_result store(const write_object& write)
    {
        ++writes_;
        stored_object& object = objects_[write.location];
        if (object.version != write.expected_version) {
            if (object.version == 0) {
                objects_.erase(write.location);
            }
            return {write_status::conflict, 0};
        }
        object.version = ++versions_;
        object.text = encode(write.value).dump();
        return {write_status::written, object.version};
    }

    void deliver_random()
    {
        if (mail_.empty()) {
            return;
        }
        const int index = allowed_.bad_network ? pick(static_cast<int>(mail_.size())) : 0;
        if (allowed_.bad_network && chance(15)) {
            mail_.erase(mail_.begin() + index);
            return;
        }
        if (allowed_.bad_network && chance(15)) {
            mail_.push_back(mail_.at(static_cast<std::size_t>(index)));
        }
        deliver_mail(index);
    }

    void deliver_mail(int index)
    {
        const auto position = mail_.begin() + index;
        const mail item = std::move(*position);
        mail_.erase(position);
        if (at(item.to).paused) {
            if (allowed_.pauses) {
                mail_.push_back(item);
            }
            return;
        }
        const auto message = decode_message(item.message);
        check(message.ok(), "unreadable message");
        apply(item.to, at(item.to).service->on_message(host(item.from), *message, now()));
    }

    void apply(int entry, service_actions actions)
    {
        for (auto& action : actions) {
            if (auto* read = std::get_if<read_object>(&action)) {
                calls_.push_back({entry, at(entry).start, *read});
            }
            else if (auto* write = std::get_if<write_object>(&action)) {
                calls_.push_back({entry, at(entry).start, std::move(*write)});
            }
            else if (auto* letter = std::get_if<send_claim_message>(&action)) {
                post(entry, *letter);
            }
            else {
                decided(entry, std::get<claim_decided>(action));
            }
        }
        if (at(entry).service->pending_outcomes() == 0) {
            at(entry).unsettled.clear();
        }
    }

    void post(int from, const send_claim_message& letter)
    {
        for (int to = 0; to < entry_count; ++to) {
            if (host(to) == letter.to) {
                mail_.push_back({from, to, encode(letter.message)});
            }
        }
    }

    void decided(int entry, const claim_decided& decided)
    {
        check(!decisions_.contains(decided.nonce), "two answers to a claim");
        decisions_[decided.nonce] = decided.decision;
        at(entry).waiting.erase(decided.nonce);
        if (std::holds_alternative<claim_granted>(decided.decision)) {
            at(entry).running.insert(decided.nonce);
        }
        at(entry).unsettled.insert(decided.nonce);
        const auto* replayed = std::get_if<claim_replayed>(&decided.decision);
        const int key = keys_.at(decided.nonce);
        check(replayed == nullptr || replayed->answer == answer_of(key), "answer of another call");
        check(replayed == nullptr || executions(key) == 1, "answer of a call that did not run");
    }

    std::mt19937_64 random_;
    faults allowed_;
    claim_limits limits_;
    duration clock_{};
    std::uint64_t starts_ = 0;
    std::array<entry_state, entry_count> entries_;
    bool outage_ = false;
    std::map<object_location, stored_object> objects_;
    std::uint64_t versions_ = 0;
    std::uint64_t writes_ = 0;
    std::deque<platform_call> calls_;
    std::deque<write_object> late_writes_;
    std::deque<mail> mail_;
    std::map<claim_nonce, int> keys_;
    std::map<claim_nonce, claim_decision> decisions_;
    std::map<int, int> executions_;
    std::set<int> orphaned_;
};

} // namespace snipespar::claims
