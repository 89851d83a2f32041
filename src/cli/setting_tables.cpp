#include "cli/setting_tables.h"

#include "cli/setting.h"

#include <array>

namespace snipespar::cli {

namespace {

constexpr setting host_setting{"host", "<name>", presence::required, "",
                               "Name of the host on which this process runs."};

constexpr setting failure_domain_setting{"failure-domain", "<name>", presence::required, "",
                                         "Failure domain of that host."};

constexpr setting environment_setting{"environment", "<name>", presence::defaulted, "trial",
                                      "Environment whose configuration applies."};

constexpr setting fleet_secret_setting{
    "fleet-secret",
    "",
    presence::required,
    "",
    "Secret of at least 32 bytes that the fleet's own processes share. It is read from the "
    "environment only.",
    true};

constexpr setting heartbeat_setting{"heartbeat", "<duration>", presence::defaulted, "1s",
                                    "Interval between heartbeats on each link; a link without one "
                                    "for three intervals is replaced."};

constexpr setting drain_timeout_setting{
    "drain-timeout", "<duration>", presence::defaulted, "150s",
    "After SIGTERM, how long requests in progress may take to end before the stop is forced."};

constexpr setting trace_endpoint_setting{
    "trace-endpoint", "<ip:port>", presence::optional, "",
    "OTLP/HTTP receiver of spans; without it no span is recorded."};

constexpr setting counters_interval_setting{"counters-interval", "<duration>", presence::defaulted,
                                            "60s", "Interval between counter lines in the log."};

constexpr setting seed_setting{
    "seed", "<number>", presence::defaulted, "0",
    "Seed of all random choices; 0 takes a fresh one from the operating system at each start."};

constexpr setting platform_timeout_setting{
    "platform-timeout", "<duration>", presence::defaulted, "10s",
    "How long the command tries to reach the platform before it gives up."};

constexpr setting required_platform_setting{"platform", "<ip:port>", presence::required, "",
                                            "Object API of the platform."};

constexpr std::array entry_settings_list{
    setting{"listen", "<ip:port>", presence::defaulted, "127.0.0.1:8080",
            "Address on which callers are served."},
    setting{"link-listen", "<ip:port>", presence::defaulted, "127.0.0.1:8090",
            "Address on which other entries connect."},
    setting{"admin-listen", "<ip:port>", presence::defaulted, "127.0.0.1:9090",
            "Address of metrics, liveness, readiness and status."},
    setting{"platform", "<ip:port>", presence::optional, "",
            "Object API of the platform. Either this or --config-file must be given."},
    setting{"config-file", "<path>", presence::optional, "",
            "Serves a local configuration document instead of the platform's; for trials."},
    environment_setting,
    host_setting,
    failure_domain_setting,
    setting{"peers", "<ip:port,...>", presence::defaulted, "",
            "Link addresses of the other entries, separated by commas."},
    setting{"max-body", "<size>", presence::defaulted, "1MiB",
            "Largest request body; a larger one is refused with status 413."},
    setting{"request-timeout", "<duration>", presence::defaulted, "120s",
            "Maximum time from a request's arrival to the end of its response."},
    drain_timeout_setting,
    heartbeat_setting,
    setting{"traffic-threads", "<number>", presence::defaulted, "2",
            "Threads that carry requests, besides the control thread."},
    trace_endpoint_setting,
    counters_interval_setting,
    seed_setting,
    fleet_secret_setting,
};

constexpr std::array agent_settings_list{
    setting{"listen", "<ip:port>", presence::defaulted, "127.0.0.1:8070",
            "Address on which entries connect. At most one agent can bind it, so only that agent "
            "sends orders to its upstream."},
    setting{"admin-listen", "<ip:port>", presence::defaulted, "127.0.0.1:9070",
            "Address of metrics, liveness, readiness and status."},
    setting{"upstream", "<ip:port>", presence::required, "",
            "Address of the engine or plain service that this agent serves."},
    setting{"upstream-id", "<name>", presence::required, "",
            "Name of that upstream in the configuration document."},
    environment_setting,
    host_setting,
    failure_domain_setting,
    setting{"entries", "<ip:port,...>", presence::defaulted, "",
            "Link addresses of entries to learn the configuration from before any of them "
            "connects."},
    drain_timeout_setting,
    heartbeat_setting,
    setting{"longest-order-time", "<duration>", presence::defaulted, "5s",
            "How long an order of a crashed agent may still take effect on an engine that does "
            "not check fencing numbers; a new agent sends no order before."},
    trace_endpoint_setting,
    counters_interval_setting,
    seed_setting,
    fleet_secret_setting,
};

constexpr setting control_listen_setting{
    "control-listen", "<ip:port>", presence::required, "",
    "Address of datagrams between gateways and sidecars. Every host uses the same port."};

constexpr std::array gateway_settings_list{
    setting{"listen", "<ip:port>", presence::required, "", "Address on which callers are served."},
    setting{"admin-listen", "<ip:port>", presence::required, "",
            "Address of readiness and metrics."},
    control_listen_setting,
    required_platform_setting,
    host_setting,
    failure_domain_setting,
    setting{"stop-grace", "<duration>", presence::defaulted, "8s",
            "Time from SIGTERM until the platform kills the process. Requests still open are "
            "answered shortly before."},
    setting{"memory-limit", "<size>", presence::defaulted, "256MiB",
            "Memory beyond which the platform kills the process. A sixth of it may hold "
            "requests being received, and a sixth answers."},
    setting{"max-descriptors", "<number>", presence::defaulted, "0",
            "Descriptors that the platform lets the process open; 0 for the limit of the system. "
            "Callers' connections may take three quarters."},
    setting{"store-recovery-bound", "<duration>", presence::defaulted, "3s",
            "Time after an outage of the platform's store from which gateways must act on every "
            "change again. The store is polled the less often the longer it is."},
    setting{"version-bound", "<duration>", presence::defaulted, "5s",
            "Time after the announcement of a new version of an adapter from which no other may "
            "begin to run."},
    setting{"leave-bound", "<duration>", presence::defaulted, "2s",
            "Time after its announced stop or removal from which an upstream must get no new work. "
            "The registry is polled the less often the longer it is."},
    setting{"evacuation-bound", "<duration>", presence::defaulted, "0s",
            "Time after the operator's request from which an evacuated failure domain must get no "
            "new work. With 0 evacuations are not watched."},
    setting{"retry-ratio", "<number>", presence::defaulted, "0.2",
            "Retries allowed per request, over all gateways."},
    setting{"retry-slack", "<number>", presence::defaulted, "50",
            "Retries allowed beyond that within ten seconds, over all gateways."},
    seed_setting,
};

constexpr std::array sidecar_settings_list{
    control_listen_setting,
    setting{"admin-listen", "<ip:port>", presence::required, "",
            "Address of readiness and metrics."},
    setting{"engine", "<ip:port>", presence::required, "",
            "Address of the engine on this host, as gateways address it."},
    host_setting,
    setting{"placement", "<rule>", presence::defaulted, "load",
            "What gateways learn of the engine to choose where calls go: `load`, the number of its "
            "calls, or `work`, also the prompt tokens that it has not read and its speed."},
    setting{"retention", "<rule>", presence::defaulted, "recency",
            "Which adapter gives up its slot: `recency`, the one not used for longest, or "
            "`demand`, the one for which fewest calls are expected."},
};

constexpr std::array operator_settings_list{
    required_platform_setting,
    environment_setting,
    platform_timeout_setting,
};

constexpr std::array promote_settings_list{
    required_platform_setting,
    setting{"from", "<name>", presence::defaulted, "trial",
            "Environment whose accepted document is taken."},
    setting{"to", "<name>", presence::defaulted, "production",
            "Environment that the document is applied to."},
    platform_timeout_setting,
};

constexpr std::array explain_settings_list{
    setting{"gateway", "<ip:port>", presence::required, "",
            "Admin address of the gateway that is asked."},
    setting{"request-host", "<name>", presence::required, "", "Host that the request names."},
    setting{"request-path", "<path>", presence::required, "", "Path of the request."},
    setting{"model", "<model/adapter>", presence::defaulted, "",
            "Model that the request names, with its adapter if it needs one."},
    setting{"team", "<name>", presence::defaulted, "", "Team of the request. No key is needed."},
    setting{"prompt-tokens", "<number>", presence::defaulted, "0", "Tokens of the prompt."},
    setting{"shared-tokens", "<number>", presence::defaulted, "0",
            "Tokens of the prompt that the request shares with its session."},
    setting{
        "session", "<parts>", presence::defaulted, "",
        "Those parts of the prompt, as callers state them. Shared tokens count only with them."},
    setting{"format", "<form>", presence::defaulted, "table",
            "How the answer is printed: `table` or `json`."},
    setting{"gateway-timeout", "<duration>", presence::defaulted, "5s",
            "How long the command waits for the answer."},
};

constexpr std::array check_settings_list{environment_setting};

} // namespace

std::span<const setting> entry_table()
{
    return entry_settings_list;
}

std::span<const setting> agent_table()
{
    return agent_settings_list;
}

std::span<const setting> gateway_table()
{
    return gateway_settings_list;
}

std::span<const setting> sidecar_table()
{
    return sidecar_settings_list;
}

std::span<const setting> check_table()
{
    return check_settings_list;
}

std::span<const setting> operator_table()
{
    return operator_settings_list;
}

std::span<const setting> explain_table()
{
    return explain_settings_list;
}

std::span<const setting> promote_table()
{
    return promote_settings_list;
}

} // namespace snipespar::cli
