#include "gateway/call_explainer.h"

#include "base/stable_hash.h"
#include "gateway/adapter_popularity.h"
#include "gateway/call_deadline.h"
#include "gateway/fleet_config.h"
#include "gateway/placement_explainer.h"
#include "gateway/placement_query.h"
#include "gateway/upstream_table.h"
#include "gateway/version_table.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace snipespar::gateway {

namespace {

using nlohmann::json;
using telemetry::query_answer;

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;
// Upstreams of one service that an answer lists; the others are counted. About 400 bytes each.
constexpr std::size_t max_listed = 64;
// Services of a route that an answer explains.
constexpr std::size_t max_services = 8;

query_answer make_answer(unsigned status, const json& content)
{
    // Names of upstreams come from others and may be anything.
    return {status, content.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"};
}

double to_ms(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

std::string_view name_of(call_kind kind)
{
    switch (kind) {
    case call_kind::safe:
        return "safe";
    case call_kind::unsafe:
        return "unsafe";
    case call_kind::stream:
        break;
    }
    return "stream";
}

std::string_view name_of(explained_upstream::residency adapter)
{
    switch (adapter) {
    case explained_upstream::residency::resident:
        return "resident";
    case explained_upstream::residency::loading:
        return "loading";
    case explained_upstream::residency::none:
        break;
    }
    return "none";
}

std::string_view name_of(placement_explanation::measure measure)
{
    switch (measure) {
    case placement_explanation::measure::share:
        return "share";
    case placement_explanation::measure::calls:
        return "calls";
    case placement_explanation::measure::score:
        break;
    }
    return "score";
}

// Writes the destination of a decision.
struct decision_writer {
    json operator()(const send_to& target) const
    {
        return {{"action", "send"}, {"upstream", target.upstream.str()}};
    }

    json operator()(const wait_for_adapter& target) const
    {
        return {{"action", "load"}, {"upstream", target.upstream.str()}};
    }

    json operator()(const no_upstream& none) const
    {
        json result{{"action", "refuse"}};
        result["cause"] = none.is_backlogged   ? "upstreams_backlogged"
                          : none.is_overloaded ? "upstreams_full"
                                               : "no_upstream";
        if (none.opens_at) {
            result["opens_in_ms"] = to_ms(std::max(*none.opens_at - now, duration{}));
        }
        return result;
    }

    time_point now;
};

// The upstream of a decision; empty if there is none.
upstream_id target_of(const placement& destination)
{
    if (const auto* target = std::get_if<send_to>(&destination)) {
        return target->upstream;
    }
    const auto* target = std::get_if<wait_for_adapter>(&destination);
    return target == nullptr ? upstream_id() : target->upstream;
}

// How much an operator wants to see an upstream, the most wanted ones first.
int list_level(const explained_upstream& item, const upstream_id& target)
{
    if (item.id == target) {
        return 0;
    }
    if (item.is_drawn || item.is_home) {
        return 1;
    }
    return item.status == standing::ready || item.status == standing::loading ? 2 : 3;
}

// Indices of the upstreams to list, in their order.
std::vector<std::size_t> listed(const placement_explanation& found)
{
    const auto target = target_of(found.decision.destination);
    std::vector<std::pair<int, std::size_t>> order;
    order.reserve(found.upstreams.size());
    for (std::size_t i = 0; i < found.upstreams.size(); ++i) {
        order.emplace_back(list_level(found.upstreams[i], target), i);
    }
    std::ranges::sort(order);
    order.resize(std::min(order.size(), max_listed));
    std::vector<std::size_t> indices;
    indices.reserve(order.size());
    for (const auto& [level, index] : order) {
        indices.push_back(index);
    }
    std::ranges::sort(indices);
    return indices;
}

json write(const explained_upstream& item, std::size_t place, time_point now)
{
    json result{{"upstream", item.id.str()},
                {"address", item.address},
                {"failure_domain", item.failure_domain.str()},
                {"distant", item.is_distant},
                {"standing", gateway::name_of(item.status)},
                {"residency", name_of(item.adapter)},
                {"load", item.load},
                {"in_flight", item.in_flight},
                {"cold", item.is_cold},
                {"paced", item.is_paced},
                {"drawn", item.is_drawn},
                {"home", item.is_home}};
    const auto add = [&](const char* name, const auto& value) {
        if (value) {
            result[name] = *value;
        }
    };
    if (item.weight || item.status == standing::backlogged) {
        result["rank"] = place + 1;
    }
    add("weight", item.weight);
    add("waiting_tokens", item.waiting_tokens);
    add("tokens_per_ms", item.tokens_per_ms);
    add("start_ms", item.start_ms);
    add("finish_ms", item.finish_ms);
    add("rate_per_s", item.rate_per_s);
    if (item.until) {
        result["until_ms"] = to_ms(std::max(*item.until - now, duration{}));
    }
    return result;
}

json write(const placement_explanation& found, time_point now)
{
    json upstreams = json::array();
    for (const auto index : listed(found)) {
        upstreams.push_back(write(found.upstreams[index], index, now));
    }
    std::map<std::string_view, std::size_t> standings;
    for (const auto& item : found.upstreams) {
        ++standings[gateway::name_of(item.status)];
    }
    json counts = json::object();
    for (const auto& [name, count] : standings) {
        counts[std::string(name)] = count;
    }
    auto decision = std::visit(decision_writer{now}, found.decision.destination);
    decision["depends_on_draw"] = found.depends_on_draw;
    json replicas = json::array();
    for (const auto& replica : found.decision.replicas) {
        if (replicas.size() < max_listed) {
            replicas.push_back(replica.str());
        }
    }
    json result{{"decision", std::move(decision)},
                {"replicas", std::move(replicas)},
                {"weighed_by", name_of(found.weighed_by)},
                {"standings", std::move(counts)},
                {"omitted", found.upstreams.size() - upstreams.size()},
                {"upstreams", std::move(upstreams)}};
    if (found.limits) {
        result["limits"] = {{"slots", found.limits->slots},
                            {"busy", found.limits->busy},
                            {"full", found.limits->full}};
        if (std::isfinite(found.limits->busy_ms)) {
            result["limits"]["busy_ms"] = found.limits->busy_ms;
        }
    }
    return result;
}

json write(const route_rule& route)
{
    return {{"id", route.id.str()},
            {"path_prefix", route.path_prefix},
            {"kind", name_of(route.kind)},
            {"priority", route.priority},
            {"aim_ms", to_ms(route.target_latency)},
            {"time_limit_ms", to_ms(route.time_limit)},
            {"max_attempts", route.max_attempts}};
}

bool offers(const engine_rule& engine, const std::string& model)
{
    return std::ranges::find(engine.models, model) != engine.models.end();
}

// The finding that no service of the route can have the model; empty if one may.
std::string model_problem(const fleet_config& config, const route_rule& route,
                          const explain_query& query)
{
    std::string services;
    for (const auto& item : route.services) {
        const auto* service = config.find_service(item.service);
        if (service == nullptr || !service->engine || offers(*service->engine, query.model)) {
            return {};
        }
        services += (services.empty() ? "" : ", ") + item.service;
    }
    if (services.empty()) {
        return {};
    }
    return query.model.empty()
               ? fmt::format("is missing: the upstreams of {} are engines", services)
               : fmt::format("\"{}\" is not a model of {}", query.model, services);
}

} // namespace

query_answer call_explainer::answer(std::string_view query, time_point now) const
{
    const auto parsed = explain_query::parse(query);
    if (const auto* problems = std::get_if<findings>(&parsed)) {
        json list = json::array();
        for (const auto& item : *problems) {
            list.push_back({{"place", item.place}, {"message", item.message}});
        }
        return make_answer(status_bad_request, {{"error", "malformed_query"}, {"findings", list}});
    }
    return answer(std::get<explain_query>(parsed), now);
}

query_answer call_explainer::answer(const explain_query& query, time_point now) const
{
    const auto refuse = [&](unsigned status, const char* error, const char* place,
                            const std::string& message) {
        return make_answer(status,
                           {{"error", error},
                            {"findings", json::array({{{"place", place}, {"message", message}}})},
                            {"config", known_.config == nullptr ? 0 : known_.config->version()}});
    };
    if (known_.config == nullptr) {
        return refuse(status_unavailable, "no_configuration", "gateway",
                      "has not received a configuration yet");
    }
    const auto& config = *known_.config;
    const auto* route = config.find_route(query.host, query.path);
    if (route == nullptr) {
        return refuse(
            status_not_found, "unknown_route", "path",
            fmt::format("no route of host \"{}\" matches path \"{}\"", query.host, query.path));
    }
    const auto& teams = config.content().teams;
    const auto team =
        std::ranges::find_if(teams, [&](const auto& item) { return item.id.str() == query.team; });
    if (!query.team.empty() && team == teams.end()) {
        return refuse(status_not_found, "unknown_team", "team",
                      fmt::format("\"{}\" is not a team", query.team));
    }
    if (const auto problem = model_problem(config, *route, query); !problem.empty()) {
        return refuse(query.model.empty() ? status_bad_request : status_not_found, "unknown_model",
                      "model", problem);
    }

    json notes = json::array();
    if (query.team.empty() && config.has_teams() && !route->is_public) {
        notes.push_back("the route takes requests of teams only: without a key it is refused");
    }
    if (query.shared_tokens > 0 && query.session.empty()) {
        notes.push_back("shared tokens are not considered without a session");
    }
    if (known_.is_stopping) {
        notes.push_back("the gateway stops and takes only what ends in time");
    }
    const auto adapter = query.adapter.empty() ? std::string() : query.model + "/" + query.adapter;
    const auto deadline = call_deadline(*route, route->time_limit, now);
    placement_query wanted;
    wanted.model = query.model;
    wanted.min_version = known_.versions.min_version(adapter, now);
    wanted.share = known_.popularity.share(adapter, now);
    if (!query.session.empty()) {
        wanted.session = stable_hash(query.session);
        wanted.shared_tokens = query.shared_tokens;
    }
    wanted.route = route->id.str();
    wanted.aim = route->target_latency;
    wanted.wanted_by = wanted_by(*route, now, deadline);
    wanted.prompt_tokens = query.prompt_tokens;

    double sum = 0;
    for (const auto& item : route->services) {
        sum += item.weight;
    }
    const placement_explainer explainer(known_.selector, known_.upstreams, known_.gateways);
    json services = json::array();
    for (const auto& item : route->services) {
        if (services.size() == max_services) {
            notes.push_back(fmt::format("only {} of {} services are explained", max_services,
                                        route->services.size()));
            break;
        }
        const auto* service = config.find_service(item.service);
        json explained{{"decision", {{"action", "refuse"}, {"cause", "unknown_service"}}}};
        if (service != nullptr) {
            wanted.service = service->name;
            wanted.adapter = service->engine ? adapter : std::string();
            explained = write(explainer.explain(wanted, *service, now), now);
        }
        explained["service"] = item.service;
        explained["share"] = sum > 0 ? item.weight / sum : 0;
        services.push_back(std::move(explained));
    }
    json result{
        {"gateway", host_},       {"config", config.version()},      {"gateways", known_.gateways},
        {"route", write(*route)}, {"services", std::move(services)}, {"notes", std::move(notes)}};
    if (!query.team.empty()) {
        result["team"] = {{"id", team->id.str()}, {"priority", team->priority}};
    }
    if (!query.model.empty()) {
        result["model"] = {{"model", query.model},
                           {"adapter", query.adapter},
                           {"min_version", wanted.min_version},
                           {"share", wanted.share}};
    }
    return make_answer(status_ok, result);
}

} // namespace snipespar::gateway
