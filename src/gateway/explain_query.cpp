#include "gateway/explain_query.h"

#include "base/percent_coding.h"
#include "base/text_view.h"
#include "base/utf8.h"

#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <map>
#include <system_error>

namespace snipespar::gateway {

namespace {

// Longest value of a parameter, encoded: as long as the header lines that callers may send.
constexpr std::size_t max_value_bytes = 4096;
// Most findings that are reported of one query.
constexpr std::size_t max_findings = 10;
// Longest text of the query that a finding quotes.
constexpr std::size_t max_quoted_bytes = 100;
// The largest count of tokens that callers may state.
constexpr std::uint64_t max_tokens = 1'000'000'000;

constexpr std::string_view host_name = "host";
constexpr std::string_view path_name = "path";
constexpr std::string_view model_name = "model";
constexpr std::string_view team_name = "team";
constexpr std::string_view prompt_tokens_name = "prompt_tokens";
constexpr std::string_view shared_tokens_name = "shared_tokens";
constexpr std::string_view session_name = "session";
constexpr std::array names{host_name,          path_name,          model_name,  team_name,
                           prompt_tokens_name, shared_tokens_name, session_name};

std::string quoted(std::string_view text)
{
    return is_utf8(text) && text.size() <= max_quoted_bytes ? fmt::format("\"{}\"", text)
                                                            : "the text";
}

// Reads the parameters of one query, each of which may occur once.
class parameter_reader {
public:
    explicit parameter_reader(std::string_view text)
    {
        for (const auto part : absl::StrSplit(to_absl(text), '&', absl::SkipEmpty())) {
            if (findings_.size() >= max_findings) {
                return;
            }
            add(to_std(part));
        }
    }

    std::string text(std::string_view name) const
    {
        const auto found = values_.find(name);
        return found == values_.end() ? std::string() : found->second;
    }

    std::uint64_t tokens(std::string_view name)
    {
        const auto value = text(name);
        std::uint64_t number = 0;
        const char* const end = value.data() + value.size();
        const auto [stop, error] = std::from_chars(value.data(), end, number);
        if (values_.contains(name) &&
            (error != std::errc{} || stop != end || number > max_tokens)) {
            add_finding(name, fmt::format("{} is not a whole number of at most {}", quoted(value),
                                          max_tokens));
        }
        return number;
    }

    void add_finding(std::string_view name, std::string message)
    {
        findings_.push_back({std::string(name), std::move(message)});
    }

    const findings& found() const { return findings_; }

private:
    void add(std::string_view part)
    {
        const auto equals = std::min(part.find('='), part.size());
        const auto name = part.substr(0, equals);
        const auto encoded = part.substr(std::min(equals + 1, part.size()));
        if (std::ranges::find(names, name) == names.end()) {
            return add_finding("query", fmt::format("{} is not a parameter", quoted(name)));
        }
        if (encoded.size() > max_value_bytes) {
            return add_finding(name, fmt::format("is longer than {} bytes", max_value_bytes));
        }
        auto value = percent_decode(encoded);
        if (!value.ok()) {
            return add_finding(name, std::string(value.status().message()));
        }
        if (!is_utf8(*value)) {
            return add_finding(name, "must be UTF-8");
        }
        if (!values_.try_emplace(std::string(name), *std::move(value)).second) {
            add_finding(name, "is given twice");
        }
    }

    std::map<std::string, std::string, std::less<>> values_;
    findings findings_;
};

} // namespace

std::string explain_query::target() const
{
    auto result = fmt::format("{}?{}={}&{}={}", admin_path, host_name, percent_encode(host),
                              path_name, percent_encode(path));
    const auto add = [&](std::string_view name, std::string_view value) {
        if (!value.empty()) {
            result += fmt::format("&{}={}", name, percent_encode(value));
        }
    };
    add(model_name, adapter.empty() ? model : model + "/" + adapter);
    add(team_name, team);
    add(session_name, session);
    result += fmt::format("&{}={}&{}={}", prompt_tokens_name, prompt_tokens, shared_tokens_name,
                          shared_tokens);
    return result;
}

std::variant<explain_query, findings> explain_query::parse(std::string_view text)
{
    parameter_reader reader(text);
    const auto model = reader.text(model_name);
    const auto slash = std::min(model.find('/'), model.size());
    const auto path = reader.text(path_name);
    explain_query result{
        .host = reader.text(host_name),
        .path = path.substr(0, path.find('?')),
        .model = model.substr(0, slash),
        .adapter = model.substr(std::min(slash + 1, model.size())),
        .team = reader.text(team_name),
        .prompt_tokens = reader.tokens(prompt_tokens_name),
        .shared_tokens = reader.tokens(shared_tokens_name),
        .session = reader.text(session_name),
    };
    if (reader.found().empty() && result.host.empty()) {
        reader.add_finding(host_name, "is missing");
    }
    if (reader.found().empty() && !result.path.starts_with('/')) {
        reader.add_finding(path_name, result.path.empty() ? "is missing" : "must begin with /");
    }
    if (!reader.found().empty()) {
        return reader.found();
    }
    return result;
}

} // namespace snipespar::gateway
