#include "operator/explain_report.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace snipespar::operators {

namespace {

using nlohmann::json;

constexpr std::array columns{"upstream", "domain",   "standing",  "adapter", "load",     "tokens",
                             "tok/ms",   "start_ms", "finish_ms", "",        "until_ms", "notes"};
// The column whose title is what the upstreams were compared by.
constexpr std::size_t weight_column = 9;
using row = std::array<std::string, columns.size()>;

// Without control characters.
std::string printable(std::string text)
{
    std::ranges::replace_if(
        text, [](char item) { return static_cast<unsigned char>(item) < ' ' || item == '\x7f'; },
        '?');
    return text;
}

std::string text_of(const json& object, const char* name)
{
    return printable(object.at(name).get<std::string>());
}

std::string number_of(const json& object, const char* name, int digits)
{
    const auto found = object.find(name);
    return found == object.end() || found->is_null()
               ? "-"
               : fmt::format("{:.{}f}", found->get<double>(), digits);
}

// What an operator should know beside the columns.
std::string notes_of(const json& upstream, const std::string& target)
{
    std::string notes;
    const auto add = [&](bool holds, std::string_view word) {
        if (holds) {
            notes += notes.empty() ? "" : ",";
            notes += word;
        }
    };
    add(upstream.at("upstream").get<std::string>() == target, "chosen");
    for (const auto* name : {"drawn", "home", "distant", "cold", "paced"}) {
        add(upstream.at(name).get<bool>(), name);
    }
    add(upstream.contains("rate_per_s"), "permit");
    return notes;
}

row make_row(const json& upstream, const std::string& target)
{
    return {text_of(upstream, "upstream"),           text_of(upstream, "failure_domain"),
            text_of(upstream, "standing"),           text_of(upstream, "residency"),
            number_of(upstream, "load", 1),          number_of(upstream, "waiting_tokens", 0),
            number_of(upstream, "tokens_per_ms", 1), number_of(upstream, "start_ms", 1),
            number_of(upstream, "finish_ms", 1),     number_of(upstream, "weight", 3),
            number_of(upstream, "until_ms", 0),      notes_of(upstream, target)};
}

std::string write_rows(const std::vector<row>& rows)
{
    std::array<std::size_t, columns.size()> widths{};
    for (const auto& item : rows) {
        for (std::size_t i = 0; i < item.size(); ++i) {
            widths[i] = std::max(widths[i], item[i].size());
        }
    }
    std::string text;
    for (const auto& item : rows) {
        std::string line;
        for (std::size_t i = 0; i < item.size(); ++i) {
            line += fmt::format("{:<{}}  ", item[i], widths[i]);
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += "  " + line + "\n";
    }
    return text;
}

std::string describe_decision(const json& decision)
{
    const auto action = text_of(decision, "action");
    std::string text = action;
    if (action == "refuse") {
        text += " " + text_of(decision, "cause");
        if (decision.contains("opens_in_ms")) {
            text += fmt::format(", opens in {} ms", number_of(decision, "opens_in_ms", 0));
        }
        return text;
    }
    text += action == "load" ? " the adapter at " : " to ";
    text += text_of(decision, "upstream");
    return text + (decision.at("depends_on_draw").get<bool>() ? " (drawn from several)" : "");
}

std::string describe_service(const json& service)
{
    const auto& decision = service.at("decision");
    auto text = fmt::format("service {} (share {}): {}\n", text_of(service, "service"),
                            number_of(service, "share", 2), describe_decision(decision));
    if (!service.contains("upstreams")) {
        return text;
    }
    if (const auto limits = service.find("limits"); limits != service.end()) {
        text += fmt::format("  calls of an engine: {} run, busy from {}, full from {}",
                            number_of(*limits, "slots", 0), number_of(*limits, "busy", 1),
                            number_of(*limits, "full", 0));
        text += limits->contains("busy_ms") ? fmt::format("; busy if it begins after {} ms\n",
                                                          number_of(*limits, "busy_ms", 0))
                                            : "\n";
    }
    std::string replicas;
    for (const auto& replica : service.at("replicas")) {
        replicas += " " + printable(replica.get<std::string>());
    }
    if (!replicas.empty()) {
        text += "  would ask for replicas at" + replicas + "\n";
    }
    const auto target = decision.value("upstream", std::string());
    std::vector<row> rows(1);
    std::ranges::copy(columns, rows.front().begin());
    rows.front()[weight_column] = text_of(service, "weighed_by");
    for (const auto& upstream : service.at("upstreams")) {
        rows.push_back(make_row(upstream, target));
    }
    text += write_rows(rows);
    if (const auto omitted = service.at("omitted").get<std::size_t>(); omitted > 0) {
        std::string counts;
        for (const auto& [name, count] : service.at("standings").items()) {
            counts += fmt::format(" {} {}", printable(name), count.get<std::size_t>());
        }
        text += fmt::format("  {} more; of all:{}\n", omitted, counts);
    }
    return text;
}

} // namespace

std::string describe_refusal(std::string_view place, const json& answer)
{
    std::string text;
    try {
        for (const auto& item : answer.at("findings")) {
            text += fmt::format("{}: {}: {}\n", place, text_of(item, "place"),
                                text_of(item, "message"));
        }
    }
    catch (const json::exception&) {
        text.clear();
    }
    return text.empty() ? fmt::format("{}: the question was refused\n", place) : text;
}

std::optional<std::string> make_table(const json& answer)
{
    try {
        const auto& route = answer.at("route");
        auto text = fmt::format(
            "gateway {} config {} gateways {}\nroute {} kind {} priority {} aim {} ms\n",
            text_of(answer, "gateway"), answer.at("config").get<std::uint64_t>(),
            answer.at("gateways").get<int>(), text_of(route, "id"), text_of(route, "kind"),
            route.at("priority").get<int>(), number_of(route, "aim_ms", 0));
        if (const auto team = answer.find("team"); team != answer.end()) {
            text += fmt::format("team {} priority {}\n", text_of(*team, "id"),
                                team->at("priority").get<int>());
        }
        if (const auto model = answer.find("model"); model != answer.end()) {
            text += fmt::format("model {} adapter {} from version {} share of calls {}\n",
                                text_of(*model, "model"), text_of(*model, "adapter"),
                                model->at("min_version").get<std::uint64_t>(),
                                number_of(*model, "share", 3));
        }
        for (const auto& note : answer.at("notes")) {
            text += "note: " + printable(note.get<std::string>()) + "\n";
        }
        for (const auto& service : answer.at("services")) {
            text += describe_service(service);
        }
        return text;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace snipespar::operators
