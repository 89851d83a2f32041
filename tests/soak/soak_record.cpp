#include "soak/soak_record.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace snipespar::testing {

namespace {

// Statuses that guarantee that a call has not run and never will.
const std::set<unsigned> not_run_statuses{408, 421, 429, 503};

bool is_stream(const std::string& target)
{
    return target.starts_with("/stream/");
}

} // namespace

std::string expected_answer(const std::string& id, const std::string& target,
                            const std::string& body)
{
    if (!is_stream(target)) {
        return id + body;
    }
    std::string text;
    const int events = target.find("/slow/") == std::string::npos ? 8 : 80;
    for (int number = 1; number <= events; ++number) {
        text += fmt::format("id: {}\ndata: {} {}\n\n", number, id, number);
    }
    return text;
}

void soak_record::on_sent(const std::string& id, const std::string& target, const std::string& body)
{
    const std::lock_guard lock(mutex_);
    calls_[id] = {target, body, 0, {}};
}

void soak_record::on_answer(const std::string& id, unsigned status, const std::string& answer)
{
    const std::lock_guard lock(mutex_);
    calls_[id].status = status;
    calls_[id].answer = answer;
}

std::vector<std::string> soak_record::check(const std::vector<std::string>& upstream_outputs) const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> violations;
    std::map<std::string, int> runs;
    for (const auto& output : upstream_outputs) {
        std::istringstream lines(output);
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with("overfull ")) {
                violations.push_back(
                    "an engine was ordered to load more adapters than it has slots: " + line);
            }
            if (!line.starts_with("run ")) {
                continue;
            }
            const auto run = nlohmann::json::parse(line.substr(4), nullptr, false);
            if (run.is_discarded()) {
                // The process was killed while writing the line.
                continue;
            }
            const auto id = run["id"].get<std::string>();
            const auto call = calls_.find(id);
            ++runs[id];
            if (call == calls_.end() || call->second.target != run["target"].get<std::string>() ||
                call->second.body != run["body"].get<std::string>()) {
                violations.push_back("an upstream ran a request that no caller sent: " + line);
            }
            if (run["headers"].value("Tenant", std::string()) != "shops" ||
                run["headers"].contains("Authorization")) {
                violations.push_back("an upstream received a wrong team or a key: " + line);
            }
        }
    }
    for (const auto& [id, call] : calls_) {
        const int count = runs.contains(id) ? runs.at(id) : 0;
        const bool is_unsafe = call.target.starts_with("/unsafe/");
        if (is_unsafe && count > 1) {
            violations.push_back(fmt::format("{} ran {} times", id, count));
        }
        if (is_unsafe && count > 0 && not_run_statuses.contains(call.status)) {
            violations.push_back(fmt::format("{} got status {} but ran", id, call.status));
        }
        if (call.status == 200 && call.answer != expected_answer(id, call.target, call.body)) {
            violations.push_back(fmt::format("{} got a wrong response: {}", id, call.answer));
        }
    }
    return violations;
}

std::map<unsigned, int> soak_record::totals() const
{
    const std::lock_guard lock(mutex_);
    std::map<unsigned, int> totals;
    for (const auto& [id, call] : calls_) {
        ++totals[call.status];
    }
    return totals;
}

} // namespace snipespar::testing
