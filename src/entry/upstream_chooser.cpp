#include "entry/upstream_chooser.h"

#include "base/stable_hash.h"
#include "config/snapshot.h"

#include <utility>

namespace snipespar::entry {

namespace {

adapter_ref parse_adapter(const std::string& name)
{
    const auto at = name.rfind('@');
    if (at == std::string::npos) {
        return {adapter_id(name), ""};
    }
    return {adapter_id(name.substr(0, at)), name.substr(at + 1)};
}

} // namespace

upstream_chooser::upstream_chooser(failure_domain_id own_domain, std::uint64_t seed)
    : ranking_(route::ranking_limits{}, std::move(own_domain), seed)
{
}

void upstream_chooser::set_config(const config::snapshot& config)
{
    view_.set_upstreams(config.upstreams);
}

void upstream_chooser::on_link_up(const upstream_id& id, const incarnation& agent)
{
    view_.on_link_up(id, agent.start);
}

void upstream_chooser::on_link_lost(const upstream_id& id)
{
    view_.on_link_lost(id);
}

void upstream_chooser::on_report(const upstream_id& id, const link::upstream_report& report,
                                 time_point now)
{
    if (report.leaving) {
        view_.on_leaving(id);
    }
    route::load_report load;
    load.running = report.running;
    load.waiting = report.queued;
    load.queue_estimate = std::chrono::milliseconds(report.queue_delay_ms);
    for (const auto& name : report.resident) {
        load.resident.push_back(parse_adapter(name));
    }
    load.software = report.software;
    view_.on_report(id, std::move(load), now);
}

void upstream_chooser::on_leaving_hosts(const std::vector<host_id>& leaving)
{
    view_.on_host_list({leaving.begin(), leaving.end()});
}

void upstream_chooser::on_attempt_ended(const upstream_id& id, attempt_outcome outcome,
                                        duration took, time_point now)
{
    switch (outcome) {
    case attempt_outcome::succeeded:
        view_.on_attempt_succeeded(id, took);
        break;
    case attempt_outcome::failed:
        view_.on_attempt_failed(id, now);
        break;
    case attempt_outcome::inconclusive:
        view_.on_attempt_dropped(id);
        break;
    }
}

route::upstream_choice upstream_chooser::choose(const upstream_need& need,
                                                const std::vector<upstream_id>& tried,
                                                time_point now)
{
    route::upstream_choice choice;
    if (need.adapter.adapter.empty()) {
        choice = ranking_.choose_service(view_, need.serves, tried, now);
    }
    else {
        route::engine_request request;
        request.adapter = need.adapter;
        request.base_model = need.serves;
        request.prefix_hash = need.prefix_hash;
        request.software = need.software;
        const auto adapter_hash = stable_hash(need.adapter.str());
        request.demand_tokens_per_s = tried.empty()
                                          ? demand_.on_request(adapter_hash, need.tokens, now)
                                          : demand_.rate(adapter_hash, now);
        choice = ranking_.choose_engine(view_, request, tried, now);
    }
    if (choice.upstream) {
        view_.on_attempt_sent(*choice.upstream);
    }
    return choice;
}

} // namespace snipespar::entry
