#include "entry/team_budgets.h"

#include "base/cbor.h"
#include "config/snapshot.h"
#include "entry/peer_links.h"
#include "limits/limits_codec.h"
#include "telemetry/counter.h"
#include "telemetry/gauge.h"
#include "telemetry/metrics_registry.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <ctime>
#include <nlohmann/json.hpp>
#include <utility>

namespace snipespar::entry {

namespace {

constexpr auto tick_interval = std::chrono::milliseconds(5);
constexpr auto list_interval = std::chrono::seconds(1);
constexpr const char* topic = "limits";

const limits::limit_settings settings{};

// A monotonic clock that keeps running while the host is suspended.
time_point uninterrupted_now()
{
    std::timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const auto since_boot =
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return time_point(std::chrono::duration_cast<duration>(since_boot));
}

limits::limit_id limit_of(const team_id& team)
{
    return limits::limit_id("team/" + team.str());
}

limits::micro_tokens to_micro(std::uint64_t tokens)
{
    constexpr auto max_tokens =
        static_cast<std::uint64_t>(limits::max_amount / limits::micro_per_token);
    return static_cast<limits::micro_tokens>(std::min(tokens, max_tokens)) *
           limits::micro_per_token;
}

refusal refusal_of(const limits::refused& action)
{
    const std::string code(to_string(action.reason));
    switch (action.reason) {
    case limits::refusal_reason::over_limit:
        return {429, code, "The team's rate and burst are used up.", run_state::not_run,
                action.retry_after};
    case limits::refusal_reason::larger_than_burst:
        return {400,
                code,
                "The request needs more tokens than the team's whole burst.",
                run_state::not_run,
                {}};
    case limits::refusal_reason::unknown_limit:
        return {503, code, "This entry has not loaded the team's budget yet.", run_state::not_run,
                std::chrono::seconds(1)};
    case limits::refusal_reason::suspended:
        break;
    }
    return {503, code, "This entry was paused and is confirming the team's budget.",
            run_state::not_run, action.retry_after};
}

} // namespace

team_budgets::team_budgets(boost::asio::io_context& control, const incarnation& self,
                           peer_links& peers, telemetry::metrics_registry& metrics)
    : control_(control), timer_(control), self_(self), peers_(peers), metrics_(metrics)
{
    peers_.on_message(topic, [this](const incarnation& from, const std::string& payload) {
        on_message(from, payload);
    });
    peers_.on_presence(
        [this](const incarnation& peer, bool present) { on_presence(peer, present); });
}

void team_budgets::start(limit_store store)
{
    store_ = std::move(store);
    start_node();
    tick();
}

void team_budgets::stop()
{
    timer_.cancel();
    node_.reset();
}

void team_budgets::start_node()
{
    const auto now = uninterrupted_now();
    reported_counters_ = {};
    node_ = std::make_unique<limits::limit_node>(self_, settings, now);
    last_tick_.store(now.time_since_epoch().count());
    suspended_.store(false);
    carry_out(node_->limits_changed(now, specs_));
    list_members();
}

void team_budgets::set_config(const config::snapshot& config)
{
    specs_.clear();
    for (const auto& [id, team] : config.teams) {
        specs_.push_back({limit_of(id), limits::limit_form::rate, to_micro(team.rate_tokens_per_s),
                          to_micro(team.burst_tokens)});
    }
    if (node_) {
        carry_out(node_->limits_changed(uninterrupted_now(), specs_));
    }
}

void team_budgets::list_members()
{
    next_list_ = uninterrupted_now() + list_interval;
    auto listed = store_.members();
    if (!listed) {
        return;
    }
    for (auto& member : *listed) {
        const auto known = newest_start_.find(member.id.host);
        if (member.id.host == self_.host) {
            member.id = self_;
        }
        else if (known != newest_start_.end()) {
            member.id.start = std::max(member.id.start, known->second);
        }
    }
    carry_out(node_->members_listed(uninterrupted_now(), std::move(*listed)));
}

void team_budgets::tick()
{
    if (!node_) {
        return;
    }
    const auto now = uninterrupted_now();
    carry_out(node_->tick(now));
    if (std::exchange(restart_requested_, false)) {
        ++self_.start;
        generation_.fetch_add(1);
        start_node();
    }
    if (now >= next_list_) {
        list_members();
        update_metrics();
    }
    last_tick_.store(now.time_since_epoch().count());
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](const auto& error) {
        if (!error) {
            tick();
        }
    });
}

void team_budgets::update_metrics()
{
    const auto& counts = node_->counters();
    const auto add = [&](const char* kind, std::uint64_t limits::limit_counters::* field) {
        metrics_
            .make_counter("snipespar_limit_messages_total",
                          "Steps taken to share the fleet-wide limits, by kind.", {{"kind", kind}})
            .add(counts.*field - reported_counters_.*field);
    };
    add("credit_request", &limits::limit_counters::credit_requests);
    add("lend", &limits::limit_counters::lends);
    add("give_back", &limits::limit_counters::give_backs);
    add("recall", &limits::limit_counters::recalls);
    add("resent", &limits::limit_counters::resent_batches);
    reported_counters_ = counts;
    for (const auto& level : node_->report()) {
        metrics_
            .make_gauge("snipespar_limit_free_tokens", "Tokens of the limit free at this entry.",
                        {{"limit", level.limit.str()}})
            .set(level.level / limits::micro_per_token);
        metrics_
            .make_gauge("snipespar_limit_held_tokens",
                        "Tokens of the limit reserved at this entry and not yet delivered.",
                        {{"limit", level.limit.str()}})
            .set(level.held / limits::micro_per_token);
    }
}

limits::request_number team_budgets::reserve(const team_id& team, std::uint64_t tokens,
                                             decision_handler handler)
{
    const number next = ++last_number_;
    boost::asio::post(control_, [this, next, team, tokens, handler = std::move(handler)]() mutable {
        if (!node_) {
            return;
        }
        waiting_.emplace(next, std::move(handler));
        carry_out(node_->admit(uninterrupted_now(), next, limit_of(team), to_micro(tokens)));
    });
    return next;
}

void team_budgets::delivered(limits::request_number number, std::uint64_t tokens)
{
    boost::asio::post(control_, [this, number, tokens] {
        if (node_) {
            node_->delivered(uninterrupted_now(), number, to_micro(tokens));
        }
    });
}

void team_budgets::finished(limits::request_number number)
{
    boost::asio::post(control_, [this, number] {
        waiting_.erase(number);
        if (node_) {
            carry_out(node_->finished(uninterrupted_now(), number));
        }
    });
}

std::optional<bool> team_budgets::may_deliver(std::uint64_t generation) const
{
    if (generation != generation_.load()) {
        return false;
    }
    const duration since_last_tick =
        uninterrupted_now().time_since_epoch() - duration(last_tick_.load());
    if (suspended_.load() || since_last_tick > settings.longest_gap) {
        return std::nullopt;
    }
    return true;
}

void team_budgets::on_message(const incarnation& from, const std::string& payload)
{
    const auto value = from_cbor(payload);
    if (!node_ || !value.ok()) {
        return;
    }
    const auto message = limits::decode_envelope(*value);
    if (!message.ok() || message->from.host != from.host) {
        return;
    }
    auto& newest = newest_start_[from.host];
    newest = std::max(newest, message->from.start);
    carry_out(node_->received(uninterrupted_now(), *message));
}

void team_budgets::on_presence(const incarnation& peer, bool present)
{
    if (!present) {
        return;
    }
    auto& newest = newest_start_[peer.host];
    newest = std::max(newest, peer.start);
}

void team_budgets::carry_out(const limits::limit_actions& actions)
{
    for (const auto& action : actions) {
        std::visit([this](const auto& value) { act(value); }, action);
    }
}

void team_budgets::act(const limits::granted& action)
{
    const auto found = waiting_.extract(action.request);
    if (!found.empty()) {
        found.mapped()(std::nullopt);
    }
}

void team_budgets::act(const limits::refused& action)
{
    const auto found = waiting_.extract(action.request);
    if (!found.empty()) {
        found.mapped()(refusal_of(action));
    }
}

void team_budgets::act(const limits::send_message& action)
{
    for (const auto& peer : peers_.present()) {
        if (peer.host == action.message.to.host) {
            peers_.send(peer, topic, to_cbor(limits::encode(action.message)));
            return;
        }
    }
}

void team_budgets::act(const limits::read_table& action)
{
    store_.read(action, [this, action, generation = generation()](const auto& table) {
        if (node_ && generation == this->generation()) {
            carry_out(node_->table_read(uninterrupted_now(), action, table));
        }
    });
}

void team_budgets::act(const limits::write_table& action)
{
    store_.write(action, [this, group = action.group, generation = generation()](auto outcome) {
        if (node_ && generation == this->generation()) {
            carry_out(node_->table_written(uninterrupted_now(), group, outcome));
        }
    });
}

void team_budgets::act(const limits::deliveries_suspended& /*action*/)
{
    suspended_.store(true);
}

void team_budgets::act(const limits::deliveries_resumed& /*action*/)
{
    suspended_.store(false);
}

void team_budgets::act(const limits::restart_required& /*action*/)
{
    suspended_.store(true);
    restart_requested_ = true;
}

} // namespace snipespar::entry
