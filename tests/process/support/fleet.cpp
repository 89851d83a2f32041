#include "process/support/fleet.h"

#include "process/support/free_port.h"
#include "process/support/wait_until.h"

#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace snipespar::testing {

namespace {

const std::string fleet_secret = "a secret of the fleet that tests use only";

// Address that a stand-in prints once it listens.
cli::endpoint printed_address(child_process& process)
{
    const std::string mark = "listening 127.0.0.1:";
    if (!process.wait_for_output("\n")) {
        throw std::runtime_error("stand-in did not start listening: " + process.output());
    }
    const auto output = process.output();
    const auto at = output.find(mark);
    if (at == std::string::npos) {
        throw std::runtime_error("unexpected output of a stand-in: " + output);
    }
    const auto port = std::stoul(output.substr(at + mark.size()));
    return {"127.0.0.1", static_cast<std::uint16_t>(port)};
}

std::filesystem::path make_folder()
{
    std::string name = (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("mkdtemp failed");
    }
    return name;
}

void append(std::vector<std::string>& list, const std::vector<std::string>& more)
{
    list.insert(list.end(), more.begin(), more.end());
}

} // namespace

fleet::fleet(const fleet_options& options) : options_(options), folder_(make_folder())
{
    for (std::size_t i = 0; i < options_.engines; ++i) {
        auto engine_arguments = options_.engine_arguments;
        if (i < options_.engine_software.size()) {
            engine_arguments.push_back("--software=" + options_.engine_software[i]);
        }
        engines_.push_back(
            start_upstream(fmt::format("e{}", i + 1), "engine_stand_in", engine_arguments));
    }
    for (std::size_t i = 0; i < options_.services; ++i) {
        services_.push_back(start_upstream(fmt::format("s{}", i + 1), "service_stand_in", {}));
    }
    write_document();
    for (std::size_t i = 0; i < options_.entries; ++i) {
        entry_process entry;
        entry.address = free_address();
        entry.admin = free_address();
        entry.start = {"snipespar",
                       {"entry", "--listen=" + entry.address.str(),
                        "--link-listen=" + free_address().str(),
                        "--admin-listen=" + entry.admin.str(), fmt::format("--host=x{}", i + 1),
                        fmt::format("--failure-domain=d{}", i + 1),
                        "--config-file=" + (folder_ / "fleet.yaml").string()},
                       {{"SNIPESPAR_FLEET_SECRET", fleet_secret}}};
        append(entry.start.arguments, options_.entry_arguments);
        entry.process = std::make_unique<child_process>(entry.start);
        entries_.push_back(std::move(entry));
    }
}

fleet::~fleet()
{
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

bool fleet::wait_until_ready()
{
    for (auto& entry : entries_) {
        const auto answers = [&](const http_call& call) {
            return wait_until([&] {
                const auto reply = send_call(entry.address, call);
                return reply.ok() && reply->status == 200;
            });
        };
        http_call open;
        open.target = "/open/ready";
        const bool engines_answer =
            engines_.empty() || (answers(completion_call("trial-north", "a1@v1", 1)) &&
                                 answers(completion_call("trial-south", "a2@v1", 1)));
        if (!engines_answer || (!services_.empty() && !answers(open))) {
            return false;
        }
    }
    return true;
}

void fleet::restart_agent(upstream_pair& pair)
{
    pair.agent.reset();
    pair.agent = std::make_unique<child_process>(pair.agent_start);
}

void fleet::restart_entry(entry_process& entry)
{
    entry.process.reset();
    entry.process = std::make_unique<child_process>(entry.start);
}

std::string fleet::output() const
{
    std::string text;
    for (const auto& entry : entries_) {
        text += entry.process->output();
    }
    for (const auto* list : {&engines_, &services_}) {
        for (const auto& pair : *list) {
            text += pair.agent->output();
        }
    }
    return text;
}

upstream_pair fleet::start_upstream(const std::string& id, const std::string& program,
                                    const std::vector<std::string>& arguments)
{
    upstream_pair pair;
    pair.id = id;
    pair.upstream = std::make_unique<child_process>(program_start{program, arguments, {}});
    pair.upstream_address = printed_address(*pair.upstream);
    pair.agent_address = free_address();
    pair.agent_admin = free_address();
    pair.agent_start = {"snipespar",
                        {"agent", "--listen=" + pair.agent_address.str(),
                         "--admin-listen=" + pair.agent_admin.str(),
                         "--upstream=" + pair.upstream_address.str(), "--upstream-id=" + id,
                         "--host=h" + id, "--failure-domain=d1", "--longest-order-time=100ms"},
                        {{"SNIPESPAR_FLEET_SECRET",
                          options_.agent_secret.empty() ? fleet_secret : options_.agent_secret}}};
    append(pair.agent_start.arguments, options_.agent_arguments);
    pair.agent = std::make_unique<child_process>(pair.agent_start);
    return pair;
}

void fleet::write_document() const
{
    std::ofstream file(folder_ / "fleet.yaml");
    file << document();
}

std::string fleet::document() const
{
    std::string text = R"(environment: trial
priority_levels:
  gold: { weight: 4 }
  basic: { weight: 1 }
teams:
  north: { priority: gold, rate_tokens_per_s: 1000000, burst_tokens: 10000000 }
  south: { priority: basic, rate_tokens_per_s: 1000000, burst_tokens: 10000000 }
  narrow: { priority: basic, rate_tokens_per_s: 100, burst_tokens: 200 }
upstreams:
)";
    for (const auto& pair : engines_) {
        text += fmt::format("  {}: {{ kind: engine, serves: base, host: h{}, failure_domain: d1, "
                            "agent: \"{}\", adapter_slots: 8, max_running: 2000 }}\n",
                            pair.id, pair.id, pair.agent_address.str());
    }
    for (const auto& pair : services_) {
        text += fmt::format("  {}: {{ kind: service, serves: stock, host: h{}, failure_domain: d1, "
                            "agent: \"{}\", max_running: 100 }}\n",
                            pair.id, pair.id, pair.agent_address.str());
    }
    if (!engines_.empty()) {
        text += R"(adapters:
  a1:
    base_model: base
    versions: { v1: "store://a1/v1", v2: "store://a1/v2", v3: "store://a1/v3" }
    grants:
      north: { default_version: v1, versions: [v1, v2] }
      narrow: { default_version: v1, versions: [v1] }
  a2:
    base_model: base
    versions: { v1: "store://a2/v1" }
    grants: { south: { default_version: v1 } }
)";
    }
    if (!services_.empty()) {
        text += R"(routes:
  stock: { path_prefix: /stock, service: stock, idempotent_methods: [GET] }
  open: { path_prefix: /open, service: stock, idempotent_methods: [GET], open_to_all: true }
)";
    }
    return text;
}

http_call completion_call(const std::string& key, const std::string& model, int max_tokens,
                          bool stream)
{
    const nlohmann::json body{
        {"model", model}, {"prompt", "hello"}, {"max_tokens", max_tokens}, {"stream", stream}};
    http_call call;
    call.method = "POST";
    call.target = "/v1/completions";
    call.headers = {{"Authorization", "Bearer " + key}, {"Content-Type", "application/json"}};
    call.body = body.dump();
    return call;
}

} // namespace snipespar::testing
