#include "process/support/request_ledger.h"

#include <algorithm>
#include <fmt/format.h>

namespace snipespar::testing {

namespace {

bool promises_not_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

void request_ledger::on_answer(const std::string& id, bool is_unsafe,
                               const std::optional<http_reply>& answer)
{
    const std::lock_guard lock(mutex_);
    auto& item = entries_[id];
    item.is_unsafe = is_unsafe;
    item.status = answer ? answer->status : 0;
    item.is_own_answer = item.status != 200 ||
                         answer->body.find(id + "body of " + id) != std::string::npos ||
                         answer->body.find("data: " + id + " ") != std::string::npos;
}

void request_ledger::on_run(const std::string& id)
{
    const std::lock_guard lock(mutex_);
    ++entries_[id].runs;
}

std::vector<std::string> request_ledger::broken_promises(bool may_lose) const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> lines;
    for (const auto& [id, item] : entries_) {
        if (!may_lose && item.runs > 0 && item.status == 0) {
            lines.push_back(fmt::format("{} ran and got no answer", id));
        }
        if (item.runs > 0 && item.is_unsafe && promises_not_run(item.status)) {
            lines.push_back(fmt::format("{} ran and was refused with {}", id, item.status));
        }
        if (item.runs > 1 && item.is_unsafe) {
            lines.push_back(fmt::format("{} ran {} times", id, item.runs));
        }
        if (!item.is_own_answer) {
            lines.push_back(fmt::format("{} got an answer that is not its own", id));
        }
    }
    return lines;
}

std::size_t request_ledger::requests() const
{
    const std::lock_guard lock(mutex_);
    return entries_.size();
}

std::size_t request_ledger::served() const
{
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::ranges::count_if(
        entries_, [](const auto& item) { return item.second.status == 200; }));
}

} // namespace snipespar::testing
