#include "telemetry/metrics_registry.h"

#include "telemetry/counter.h"
#include "telemetry/gauge.h"
#include "telemetry/log_field.h"
#include "telemetry/logger.h"
#include "telemetry/summary.h"

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace snipespar::telemetry {

namespace {

[[maybe_unused]] bool is_metric_name(std::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') ||
               character == '_';
    });
}

std::string escape_label(std::string_view value)
{
    std::string text;
    for (const char character : value) {
        if (character == '\\' || character == '"') {
            text += '\\';
            text += character;
        }
        else if (character == '\n') {
            text += "\\n";
        }
        else {
            text += character;
        }
    }
    return text;
}

// Formats `{a="x",b="y"}`; empty without labels.
std::string render_labels(const std::vector<metric_label>& labels)
{
    if (labels.empty()) {
        return {};
    }
    std::string text;
    for (const auto& label : labels) {
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "{" : ",", label.name,
                            escape_label(label.value));
    }
    return text + "}";
}

// Appends the samples of one metric.
class sample_writer {
public:
    sample_writer(std::string& text, std::string_view name, const std::vector<metric_label>& labels)
        : text_(text), name_(name), labels_(labels)
    {
    }

    void operator()(const std::unique_ptr<counter>& item) const { add("", item->value()); }

    void operator()(const std::unique_ptr<gauge>& item) const { add("", item->value()); }

    void operator()(const std::unique_ptr<summary>& item) const
    {
        const auto report = item->read();
        for (std::size_t i = 0; i < summary::probabilities.size(); ++i) {
            auto labels = labels_;
            labels.push_back({"quantile", fmt::format("{}", summary::probabilities.at(i))});
            fmt::format_to(std::back_inserter(text_), "{}{} {}\n", name_, render_labels(labels),
                           report.quantiles.at(i));
        }
        add("_sum", report.sum);
        add("_count", report.count);
    }

private:
    template <class Number>
    void add(std::string_view suffix, Number value) const
    {
        fmt::format_to(std::back_inserter(text_), "{}{}{} {}\n", name_, suffix,
                       render_labels(labels_), value);
    }

    std::string& text_;
    std::string_view name_;
    const std::vector<metric_label>& labels_;
};

struct type_namer {
    std::string_view operator()(const std::unique_ptr<counter>&) const { return "counter"; }
    std::string_view operator()(const std::unique_ptr<gauge>&) const { return "gauge"; }
    std::string_view operator()(const std::unique_ptr<summary>&) const { return "summary"; }
};

// Value of one metric in the counters line; starts a new window of a summary.
struct total_reader {
    std::int64_t operator()(const std::unique_ptr<counter>& item) const
    {
        return static_cast<std::int64_t>(item->value());
    }

    std::int64_t operator()(const std::unique_ptr<gauge>& item) const { return item->value(); }

    std::int64_t operator()(const std::unique_ptr<summary>& item) const
    {
        item->rotate();
        return 0;
    }
};

} // namespace

metrics_registry::metrics_registry() = default;

metrics_registry::~metrics_registry() = default;

template <class Metric>
Metric& metrics_registry::make(std::string_view name, std::string_view help,
                               std::vector<metric_label> labels)
{
    assert(is_metric_name(name));
    std::sort(labels.begin(), labels.end());
    const std::lock_guard lock(mutex_);
    auto found = families_.find(name);
    if (found == families_.end()) {
        found = families_.emplace(std::string(name), family{std::string(help), {}}).first;
    }
    auto& members = found->second.members;
    auto member = members.find(labels);
    if (member == members.end()) {
        member = members.emplace(std::move(labels), std::make_unique<Metric>()).first;
    }
    assert(std::holds_alternative<std::unique_ptr<Metric>>(member->second));
    return *std::get<std::unique_ptr<Metric>>(member->second);
}

counter& metrics_registry::make_counter(std::string_view name, std::string_view help,
                                        std::vector<metric_label> labels)
{
    return make<counter>(name, help, std::move(labels));
}

gauge& metrics_registry::make_gauge(std::string_view name, std::string_view help,
                                    std::vector<metric_label> labels)
{
    return make<gauge>(name, help, std::move(labels));
}

summary& metrics_registry::make_summary(std::string_view name, std::string_view help,
                                        std::vector<metric_label> labels)
{
    return make<summary>(name, help, std::move(labels));
}

std::string metrics_registry::exposition() const
{
    const std::lock_guard lock(mutex_);
    std::string text;
    for (const auto& [name, item] : families_) {
        const auto type = std::visit(type_namer{}, item.members.begin()->second);
        fmt::format_to(std::back_inserter(text), "# HELP {} {}\n# TYPE {} {}\n", name, item.help,
                       name, type);
        for (const auto& [labels, member] : item.members) {
            std::visit(sample_writer(text, name, labels), member);
        }
    }
    return text;
}

void metrics_registry::report(const logger& log)
{
    std::vector<log_field> fields;
    {
        const std::lock_guard lock(mutex_);
        for (const auto& [name, item] : families_) {
            std::int64_t total = 0;
            for (const auto& [labels, member] : item.members) {
                total += std::visit(total_reader{}, member);
            }
            if (total != 0) {
                fields.emplace_back(name, total);
            }
        }
    }
    log.info("counters", fields);
}

} // namespace snipespar::telemetry
