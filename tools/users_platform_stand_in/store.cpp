#include "store.h"

#include "base/percent_coding.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <limits>
#include <utility>

namespace users_platform_stand_in {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;

namespace {

// A text that is not percent-encoded stands for itself.
std::string decoded(const std::string& text)
{
    return snipespar::percent_decode(text).value_or(text);
}

// Path segments and query parameters of a target.
struct target_parts {
    std::vector<std::string> path;
    std::map<std::string, std::string> query;
};

target_parts split(const std::string& target)
{
    target_parts parts;
    const auto query_start = target.find('?');
    std::string rest = target.substr(1, query_start - 1);
    for (std::size_t slash = 0; slash != std::string::npos;) {
        slash = rest.find('/');
        parts.path.push_back(decoded(rest.substr(0, slash)));
        rest = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    }
    std::string query =
        query_start == std::string::npos ? std::string() : target.substr(query_start + 1);
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto pair = query.substr(0, end);
        const auto equals = std::min(pair.find('='), pair.size());
        parts.query[pair.substr(0, equals)] =
            decoded(pair.substr(std::min(equals + 1, pair.size())));
        query = end == query.size() ? std::string() : query.substr(end + 1);
    }
    return parts;
}

std::uint64_t number(const std::map<std::string, std::string>& query, const std::string& name)
{
    const auto found = query.find(name);
    return found == query.end() ? 0 : std::stoull(found->second);
}

} // namespace

asio::awaitable<bool> store::handle(asio::ip::tcp::socket& socket, const request& message)
{
    const auto parts = split(std::string(message.target()));
    const auto verb = message.method();
    if (parts.path.front() == "history" && verb == http::verb::delete_) {
        history_.clear();
        history_begins_ = ++revision_;
        wake_watches();
        co_return co_await answer(socket, message, json_answer(200, "{}"));
    }
    if (parts.path.front() == "copy") {
        copied_objects_ = objects_;
        copied_revision_ = revision_;
        co_return co_await answer(socket, message, json_answer(200, "{}"));
    }
    if (parts.path.front() == "restore") {
        restore();
        co_return co_await answer(socket, message, json_answer(200, "{}"));
    }
    if (parts.path.front() == "damage") {
        is_era_damaged_ = true;
        co_return co_await answer(socket, message, json_answer(200, "{}"));
    }
    if (parts.path.front() == "paging") {
        co_return co_await answer(socket, message, set_paging(message));
    }
    if (parts.path.front() == "raw" && parts.path.size() == 3) {
        co_return co_await answer(socket, message,
                                  write_raw(message, parts.path[1], parts.path[2]));
    }
    if (parts.path.front() != "objects" || parts.path.size() < 2) {
        co_return co_await answer(socket, message, json_answer(404, "{}"));
    }
    const auto& kind = parts.path[1];
    const auto name = parts.path.size() > 2 ? parts.path[2] : std::string();
    response content;
    if (verb == http::verb::get && parts.query.contains("watch")) {
        content =
            co_await watch(kind, number(parts.query, "watch"), number(parts.query, "wait_ms"));
    }
    else if (verb == http::verb::get) {
        const auto after = parts.query.find("after");
        content = list(kind, after == parts.query.end() ? std::string() : after->second);
    }
    else if (verb == http::verb::delete_) {
        content = remove(kind, name);
    }
    else {
        content = write(message, kind, name);
    }
    co_return co_await answer(socket, message, std::move(content));
}

asio::awaitable<bool> store::answer(asio::ip::tcp::socket& socket, const request& message,
                                    response content)
{
    const bool is_damaged = message.method() == http::verb::get &&
                            message.target().starts_with("/objects/config") &&
                            std::exchange(is_era_damaged_, false);
    content.set("Store-Era",
                std::to_string(is_damaged ? std::numeric_limits<std::uint64_t>::max() : era_));
    co_return co_await send(socket, message, std::move(content));
}

void store::restore()
{
    ++era_;
    objects_ = copied_objects_;
    revision_ = copied_revision_;
    history_.clear();
    history_begins_ = revision_;
    wake_watches();
}

void store::wake_watches()
{
    for (auto* timer : waiting_) {
        timer->cancel();
    }
}

response store::set_paging(const request& message)
{
    const auto body = json::parse(message.body(), nullptr, false);
    if (body.is_object()) {
        page_size_ = body.value("size", page_size_);
        begins_anew_ = body.value("begins_anew", begins_anew_);
    }
    return json_answer(200, json{{"pages", pages_}}.dump());
}

bool store::is_known(const std::string& kind, const std::string& name) const
{
    const auto sound = objects_.find(kind);
    const auto raw = raw_objects_.find(kind);
    return (sound != objects_.end() && sound->second.contains(name)) ||
           (raw != raw_objects_.end() && raw->second.contains(name));
}

response store::list(const std::string& kind, const std::string& last_name)
{
    ++pages_[kind];
    const auto after = begins_anew_ && !is_known(kind, last_name) ? std::string() : last_name;
    std::map<std::string, std::string> following;
    if (const auto found = objects_.find(kind); found != objects_.end()) {
        for (auto item = found->second.upper_bound(after); item != found->second.end(); ++item) {
            following[item->first] = item->second.dump();
        }
    }
    if (const auto found = raw_objects_.find(kind); found != raw_objects_.end()) {
        following.insert(found->second.upper_bound(after), found->second.end());
    }
    std::vector<std::string> items;
    for (const auto& [name, text] : following) {
        if (items.size() < page_size_) {
            items.push_back(text);
        }
    }
    return json_answer(200, fmt::format(R"({{"items":[{}],"has_more":{},"current_rev":{}}})",
                                        fmt::join(items, ","), following.size() > page_size_,
                                        revision_));
}

asio::awaitable<response> store::watch(std::string kind, std::uint64_t from, std::uint64_t wait_ms)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
    const auto era = era_;
    while (true) {
        if (from < history_begins_ || from > revision_ || era != era_) {
            co_return json_answer(410, "{}");
        }
        std::vector<std::string> events;
        for (const auto& item : history_) {
            if (item.revision > from && item.kind == kind) {
                events.push_back(item.event);
            }
        }
        if (!events.empty() || std::chrono::steady_clock::now() >= deadline) {
            co_return json_answer(200, fmt::format(R"({{"events":[{}],"current_rev":{}}})",
                                                   fmt::join(events, ","), revision_));
        }
        asio::steady_timer timer(context_, deadline);
        waiting_.insert(&timer);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        waiting_.erase(&timer);
    }
}

response store::write(const request& message, const std::string& kind, const std::string& name)
{
    const auto body = json::parse(message.body(), nullptr, false);
    if (!body.is_object() || !body.contains("metadata")) {
        return json_answer(400, "{}");
    }
    const auto key = name.empty() ? body["metadata"].value("name", std::string()) : name;
    auto& stored = objects_[kind];
    const auto found = stored.find(key);
    if (message.method() == http::verb::post && found != stored.end()) {
        return json_answer(409, found->second.dump());
    }
    const auto expected = body["metadata"].value("revision", std::uint64_t{0});
    if (found != stored.end() && expected != 0 &&
        expected != found->second["metadata"]["revision"].get<std::uint64_t>()) {
        return json_answer(409, found->second.dump());
    }
    const auto spec = body.contains("spec") ? body["spec"] : json();
    if (found != stored.end() && found->second["spec"] == spec) {
        return json_answer(200, found->second.dump());
    }
    const auto revision = revision_ + 1;
    stored[key] = {
        {"metadata", {{"name", key}, {"revision", revision}}}, {"spec", spec}, {"status", nullptr}};
    record(kind, stored[key].dump(), false);
    return json_answer(200, stored[key].dump());
}

response store::remove(const std::string& kind, const std::string& name)
{
    auto& stored = objects_[kind];
    const auto found = stored.find(name);
    if (found == stored.end()) {
        return json_answer(404, "{}");
    }
    record(kind, found->second.dump(), true);
    stored.erase(found);
    return json_answer(200, "{}");
}

response store::write_raw(const request& message, const std::string& kind, const std::string& name)
{
    auto& stored = raw_objects_[kind];
    if (message.body().empty()) {
        record(kind, json{{"metadata", {{"name", name}}}}.dump(), true);
        stored.erase(name);
        return json_answer(200, "{}");
    }
    stored[name] = message.body();
    record(kind, message.body(), false);
    return json_answer(200, "{}");
}

void store::record(const std::string& kind, const std::string& object, bool is_removed)
{
    ++revision_;
    history_.push_back(
        {revision_, kind, fmt::format(R"({{"object":{},"removed":{}}})", object, is_removed)});
    wake_watches();
}

} // namespace users_platform_stand_in
