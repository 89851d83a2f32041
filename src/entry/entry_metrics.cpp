#include "entry/entry_metrics.h"

#include "entry/request_outcome.h"
#include "net/steady_time.h"
#include "telemetry/counter.h"
#include "telemetry/gauge.h"
#include "telemetry/summary.h"

namespace snipespar::entry {

namespace {

double to_seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

entry_metrics::entry_metrics()
    : prompt_tokens_(registry_.make_counter("snipespar_prompt_tokens_total",
                                            "Prompt tokens of complete responses.")),
      completion_tokens_(registry_.make_counter("snipespar_completion_tokens_total",
                                                "Tokens generated and delivered to callers.")),
      first_part_(registry_.make_summary(
          "snipespar_first_part_seconds",
          "Time from a request's arrival to the first part of its response.")),
      total_(registry_.make_summary("snipespar_request_seconds",
                                    "Time from a request's arrival to the end of its response.")),
      requests_in_progress(registry_.make_gauge("snipespar_requests_in_progress",
                                                "Requests without a final response yet.")),
      config_version(registry_.make_gauge("snipespar_config_version",
                                          "Configuration version in force; 0 before the first.")),
      agent_links(registry_.make_gauge("snipespar_agent_links", "Links to agents that are up.")),
      peer_links(registry_.make_gauge("snipespar_peer_links", "Other entries that are linked."))
{
}

void entry_metrics::record(const request_outcome& outcome)
{
    registry_
        .make_counter("snipespar_requests_total", "Requests by status, reason and run state.",
                      {{"reason", outcome.reason},
                       {"ran", std::string(to_string(outcome.ran))},
                       {"status", std::to_string(outcome.status)}})
        .add();
    prompt_tokens_.add(outcome.prompt_tokens);
    completion_tokens_.add(outcome.completion_tokens);
    if (outcome.first_part) {
        first_part_.record(to_seconds(*outcome.first_part));
    }
    total_.record(to_seconds(steady_now() - outcome.began));
}

} // namespace snipespar::entry
