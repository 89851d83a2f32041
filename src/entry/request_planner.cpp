#include "entry/request_planner.h"

#include "base/stable_hash.h"
#include "config/access.h"
#include "config/snapshot.h"
#include "entry/caller_request.h"
#include "entry/completion_call.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace snipespar::entry {

namespace {

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::uint64_t initial_window_bytes = std::uint64_t{256} << 10U;
constexpr double milli_per_unit = 1000.0;

// Headers that are not forwarded: they are hop-by-hop, contain the key, or are set by the entry.
constexpr std::array<std::string_view, 16> dropped_headers{
    "authorization",   "connection", "content-length",      "expect",           "host",
    "idempotency-key", "keep-alive", "proxy-authorization", "proxy-connection", "te",
    "traceparent",     "trailer",    "transfer-encoding",   "upgrade",          "x-api-key",
    "x-request-id"};

std::string presented_key(const caller_request& request)
{
    const auto authorization = request.header("Authorization");
    if (authorization.size() > bearer_prefix.size() &&
        boost::beast::iequals(authorization.substr(0, bearer_prefix.size()), bearer_prefix)) {
        return std::string(authorization.substr(bearer_prefix.size()));
    }
    return std::string(request.header("X-Api-Key"));
}

bool contains_key(std::string_view text, std::string_view key)
{
    return !key.empty() && text.find(key) != std::string_view::npos;
}

std::vector<link::header_field> forwarded_headers(const caller_request& request,
                                                  std::string_view key)
{
    std::vector<link::header_field> headers;
    for (const auto& field : request.headers) {
        const bool dropped =
            std::any_of(dropped_headers.begin(), dropped_headers.end(),
                        [&](auto name) { return boost::beast::iequals(name, field.name); });
        if (!dropped && !contains_key(field.value, key) && !contains_key(field.name, key)) {
            headers.push_back(field);
        }
    }
    return headers;
}

refusal access_refusal(config::access_error error)
{
    const std::string code(to_string(error));
    switch (error) {
    case config::access_error::unknown_key:
        return {401, code, "The request has no valid key.", run_state::not_run, {}};
    case config::access_error::withdrawn_key:
        return {401, code, "The key was withdrawn.", run_state::not_run, {}};
    case config::access_error::unknown_adapter:
        return {404, code, "There is no such model.", run_state::not_run, {}};
    case config::access_error::unknown_version:
        return {404, code, "The model has no such version.", run_state::not_run, {}};
    case config::access_error::not_allowed:
        break;
    }
    return {403, code, "The team may not call this model or version.", run_state::not_run, {}};
}

refusal bad_request(std::string code, std::string message)
{
    return {400, std::move(code), std::move(message), run_state::not_run, {}};
}

std::uint64_t fingerprint_of(const team_id& team, const caller_request& request)
{
    const auto target = combine_hash(stable_hash(team.str()), stable_hash(request.target));
    return combine_hash(target, stable_hash(request.body));
}

// Plans one request under one configuration.
class planner {
public:
    planner(const config::access& access, const caller_request& request,
            const std::string& request_id, time_point deadline)
        : access_(access), request_(request), request_id_(request_id), deadline_(deadline),
          key_(presented_key(request))
    {
    }

    request_plan plan() const
    {
        if (contains_key(request_.target, key_) || contains_key(request_.body, key_)) {
            return bad_request("key_in_request", "The key may appear only in its header.");
        }
        const auto path = std::string_view(request_.target).substr(0, request_.target.find('?'));
        if (path == "/v1/models") {
            return with_caller("GET", [this](const config::caller& who) { return models(who); });
        }
        if (path == "/v1/completions" || path == "/v1/chat/completions") {
            const bool chat = path == "/v1/chat/completions";
            return with_caller(
                "POST", [this, chat](const config::caller& who) { return completion(who, chat); });
        }
        const auto* route = access_.find_route(request_.target);
        if (route == nullptr) {
            return refusal{
                404, "unknown_route", "No route matches this path.", run_state::not_run, {}};
        }
        return service_call(*route);
    }

private:
    template <class Then>
    request_plan with_caller(std::string_view method, Then then) const
    {
        const auto who = access_.identify(key_);
        if (const auto* error = std::get_if<config::access_error>(&who)) {
            return access_refusal(*error);
        }
        if (request_.method != method) {
            return refusal{405,
                           "method_not_allowed",
                           "Use " + std::string(method) + " at this path.",
                           run_state::not_run,
                           {}};
        }
        return then(std::get<config::caller>(who));
    }

    request_plan models(const config::caller& who) const
    {
        nlohmann::json data = nlohmann::json::array();
        for (const auto& [id, adapter] : access_.config().adapters) {
            if (!std::holds_alternative<adapter_ref>(access_.resolve(who.team, id.str()))) {
                continue;
            }
            for (const auto& version : adapter.versions) {
                const std::string name = adapter_ref{id, version.version}.str();
                if (std::holds_alternative<adapter_ref>(access_.resolve(who.team, name))) {
                    data.push_back({{"id", name},
                                    {"object", "model"},
                                    {"owned_by", who.team.str()},
                                    {"parent", adapter.base_model}});
                }
            }
        }
        const nlohmann::json list{{"object", "list"}, {"data", std::move(data)}};
        return local_response{list.dump()};
    }

    request_plan completion(const config::caller& who, bool chat) const
    {
        const auto call = parse_completion_call(request_.body, chat);
        if (!call.ok()) {
            return bad_request("bad_body", std::string(call.status().message()));
        }
        const auto resolved = access_.resolve(who.team, call->model);
        if (const auto* error = std::get_if<config::access_error>(&resolved)) {
            return access_refusal(*error);
        }
        const auto& adapter = std::get<adapter_ref>(resolved);
        const auto& declared = access_.config().adapters.at(adapter.adapter);
        planned_request planned = start_plan(who);
        planned.facts.idempotent = true;
        planned.facts.answer = route::answer_kind::tokens;
        planned.budget_tokens = call->max_prompt_tokens + call->max_tokens;
        planned.stream = call->stream;
        planned.chat = chat;
        planned.need = {adapter, declared.base_model, call->prefix_hash, planned.budget_tokens};
        planned.run.adapter = adapter;
        for (const auto& version : declared.versions) {
            if (version.version == adapter.version) {
                planned.run.adapter_source = version.source;
            }
        }
        planned.run.idempotent = true;
        planned.run.prompt_tokens = call->max_prompt_tokens;
        planned.run.max_tokens = call->max_tokens;
        return planned;
    }

    request_plan service_call(const config::route& route) const
    {
        const auto who = access_.identify(key_);
        const auto* error = std::get_if<config::access_error>(&who);
        if (error != nullptr && (!route.open_to_all || !key_.empty())) {
            return access_refusal(*error);
        }
        const auto caller = error == nullptr ? std::get<config::caller>(who) : config::caller{};
        planned_request planned = start_plan(caller);
        const auto& methods = route.idempotent_methods;
        planned.facts.idempotent =
            std::find(methods.begin(), methods.end(), request_.method) != methods.end();
        planned.facts.answer = route::answer_kind::body;
        planned.need.serves = route.service;
        planned.run.idempotent = planned.facts.idempotent;
        planned.run.headers = forwarded_headers(request_, key_);
        planned.idempotency_key = std::string(request_.header("Idempotency-Key"));
        return planned;
    }

    planned_request start_plan(const config::caller& who) const
    {
        planned_request planned;
        planned.facts.id = request_id_;
        planned.facts.deadline = deadline_;
        planned.run.request_id = request_id_;
        planned.run.team = who.team;
        planned.run.key = who.key;
        planned.run.method = request_.method;
        planned.run.path = request_.target;
        planned.run.body = request_.body;
        planned.run.window_bytes = initial_window_bytes;
        planned.run.fingerprint = fingerprint_of(who.team, request_);
        planned.run.config_version = access_.config().version;
        const auto team = access_.config().teams.find(who.team);
        if (team != access_.config().teams.end()) {
            planned.run.team_weight_milli =
                static_cast<std::uint64_t>(team->second.weight * milli_per_unit);
        }
        return planned;
    }

    const config::access& access_;
    const caller_request& request_;
    const std::string& request_id_;
    time_point deadline_;
    std::string key_;
};

} // namespace

request_plan plan_request(const config::access& access, const caller_request& request,
                          const std::string& request_id, time_point now, duration timeout)
{
    return planner(access, request, request_id, now + timeout).plan();
}

} // namespace snipespar::entry
