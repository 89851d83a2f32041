#include "platform/call_codec.h"

#include "base/stable_hash.h"
#include "base/text_view.h"
#include "base/utf8.h"
#include "platform/wire_names.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <algorithm>
#include <array>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <fmt/format.h>
#include <iterator>
#include <string_view>
#include <vector>

namespace snipespar::platform {

namespace http = boost::beast::http;

namespace {

template <class View>
std::string_view to_view(View text)
{
    return {text.data(), text.size()};
}

// Hop-by-hop header fields, in lower case.
constexpr std::array<std::string_view, 11> hop_by_hop_names{"connection",
                                                            "keep-alive",
                                                            "proxy-connection",
                                                            "te",
                                                            "trailer",
                                                            "upgrade",
                                                            "expect",
                                                            "host",
                                                            "transfer-encoding",
                                                            "content-length",
                                                            "proxy-authorization"};

// Header fields that the system sets itself; the caller's are dropped.
constexpr std::array<std::string_view, 13> reserved_names{
    "authorization",    "deadline-ms", "expect-instance", "tenant",    "last-event-id",
    "request-priority", "hold",        "pin-ms",          "kv-backup", "kv-from",
    "kv-fetch",         "request-id",  "expect-version"};

// End-to-end fields of the platform's protocol; kept even if a Connection field names them.
constexpr std::array<std::string_view, 4> end_to_end_names{"model", "token-count", "prompt-prefix",
                                                           "length-hint"};

template <std::size_t Count>
bool contains(const std::array<std::string_view, Count>& names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [&](std::string_view item) {
        return absl::EqualsIgnoreCase(to_absl(item), to_absl(name));
    });
}

// Names listed in the Connection fields.
std::vector<std::string> named_by_connection(const http::fields& fields)
{
    std::vector<std::string> names;
    const auto range = fields.equal_range(http::field::connection);
    for (auto item = range.first; item != range.second; ++item) {
        for (const auto token : http::token_list(item->value())) {
            names.emplace_back(token);
        }
    }
    return names;
}

bool is_named(const std::vector<std::string>& names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [&](const std::string& item) {
        return absl::EqualsIgnoreCase(to_absl(item), to_absl(name));
    });
}

std::string_view field(const http::fields& fields, std::string_view name)
{
    const auto found = fields.find(boost::beast::string_view(name.data(), name.size()));
    return found == fields.end() ? std::string_view() : to_view(found->value());
}

absl::Status invalid_field(std::string_view name, std::string_view reason)
{
    return absl::InvalidArgumentError(fmt::format("{}: {}", name, reason));
}

// Everything of a call that is remembered, logged or written into messages and orders, which can
// hold UTF-8 only. Other fields are passed on as they are.
absl::Status check_names(const http::request<http::string_body>& message)
{
    if (!is_utf8(to_view(message.target()))) {
        return invalid_field("target", "must be UTF-8");
    }
    for (const auto name : {std::string_view("Host"), wire::request_id, wire::authorization,
                            wire::model, wire::prompt_parts, wire::resumes}) {
        const auto range = message.equal_range(boost::beast::string_view(name.data(), name.size()));
        for (auto item = range.first; item != range.second; ++item) {
            if (!is_utf8(to_view(item->value()))) {
                return invalid_field(name, "must be UTF-8");
            }
        }
    }
    return absl::OkStatus();
}

absl::Status read_caller_timeout(const http::fields& fields, gateway::call& call)
{
    const auto text = field(fields, wire::time_left);
    if (text.empty()) {
        return absl::OkStatus();
    }
    std::int64_t milliseconds = 0;
    // A day is far longer than any caller waits, and far from overflowing microseconds.
    constexpr std::int64_t max_timeout_ms = 86'400'000;
    if (!absl::SimpleAtoi(to_absl(text), &milliseconds) || milliseconds < 0) {
        return invalid_field(wire::time_left, "must be a whole number of milliseconds");
    }
    call.caller_timeout = std::chrono::milliseconds(std::min(milliseconds, max_timeout_ms));
    return absl::OkStatus();
}

absl::Status read_token_count(const http::fields& fields, gateway::call& call)
{
    const auto text = field(fields, wire::token_count);
    if (text.empty()) {
        return absl::OkStatus();
    }
    const std::vector<std::string> parts = absl::StrSplit(to_absl(text), ',');
    if (parts.size() != 2 || !absl::SimpleAtoi(parts[0], &call.prompt_tokens) ||
        !absl::SimpleAtoi(parts[1], &call.max_output_tokens)) {
        return invalid_field(wire::token_count, "must be two whole numbers separated by a comma");
    }
    // Far more than any engine holds, and far from overflowing a team's account.
    constexpr std::uint64_t max_tokens = 1'000'000'000;
    if (call.prompt_tokens > max_tokens || call.max_output_tokens > max_tokens) {
        return invalid_field(wire::token_count, "must not be larger than 1000000000");
    }
    call.has_token_count = true;
    return absl::OkStatus();
}

absl::Status read_last_event(const http::fields& fields, gateway::call& call)
{
    const auto text = field(fields, wire::last_event);
    if (text.empty()) {
        return absl::OkStatus();
    }
    std::uint64_t number = 0;
    if (!absl::SimpleAtoi(to_absl(text), &number)) {
        return invalid_field(wire::last_event, "must be a whole number");
    }
    call.last_event = number;
    return absl::OkStatus();
}

// Far more than the prompts of any service have; bounds what a caller can make a gateway keep.
constexpr std::size_t max_shared_parts = 32;

// The last part belongs to the request alone; the parts before it are shared, the nearest one with
// the other requests of the session.
void read_shared_prompt_parts(std::string_view prompt, gateway::call& call)
{
    const auto last = prompt.rfind(',');
    if (last == std::string_view::npos) {
        return;
    }
    const auto shared = prompt.substr(0, last);
    call.session = stable_hash(shared);
    for (const auto part : absl::StrSplit(to_absl(shared), ',')) {
        const auto colon = part.rfind(':');
        if (call.shared_parts.size() < max_shared_parts) {
            const auto id = part.substr(0, colon);
            call.shared_parts.push_back(stable_hash({id.data(), id.size()}));
        }
        std::uint64_t tokens = 0;
        // Parts only affect the choice of an engine, so an unparsable one counts as no tokens.
        if (colon != absl::string_view::npos && absl::SimpleAtoi(part.substr(colon + 1), &tokens)) {
            call.shared_tokens += tokens;
        }
    }
}

void read_model(const http::fields& fields, gateway::call& call)
{
    const auto text = field(fields, wire::model);
    const auto slash = text.find('/');
    call.model = std::string(text.substr(0, slash));
    if (slash != std::string_view::npos) {
        call.adapter = std::string(text.substr(slash + 1));
    }
    read_shared_prompt_parts(field(fields, wire::prompt_parts), call);
}

// Seconds, possibly with a fraction. An unparsable value counts as absent.
std::optional<duration> read_retry_after(std::string_view text)
{
    // Longer than any upstream stays overloaded, and far from overflowing microseconds.
    constexpr double max_retry_after_s = 3600;
    double seconds = 0;
    if (text.empty() || !absl::SimpleAtod(to_absl(text), &seconds) || !(seconds > 0)) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(seconds, max_retry_after_s)));
}

// Sets the request rate that the upstream named, if any. Zero is a rate, too.
void read_rate_limit(std::string_view text, gateway::answer_header& answer)
{
    // More than any upstream can take.
    constexpr double max_rate_per_s = 1e6;
    if (text.empty()) {
        return;
    }
    double rate = 0;
    if (absl::SimpleAtod(to_absl(text), &rate) && rate >= 0) {
        answer.rate_limit = std::min(rate, max_rate_per_s);
    }
    else {
        answer.has_invalid_rate_limit = true;
    }
}

// Load that the upstream states of itself. Only a hint for the choice of an upstream, so that an
// unparsable one counts as not stated.
std::optional<gateway::stated_load> read_load(std::string_view text)
{
    // More calls than any upstream holds.
    constexpr int max_calls = 1'000'000;
    // Beyond a factor of a hundred in either direction the figure is no use.
    constexpr int min_slowdown_percent = 1;
    constexpr int max_slowdown_percent = 10'000;
    constexpr std::size_t required_figures = 3;
    constexpr std::size_t max_figures = 8;
    const std::vector<absl::string_view> figures =
        absl::StrSplit(to_absl(text), absl::MaxSplits(',', max_figures));
    std::array<int, required_figures + 1> values{0, 0, 0, 100};
    for (std::size_t i = 0; i < std::min(figures.size(), values.size()); ++i) {
        if (!absl::SimpleAtoi(figures[i], &values.at(i)) || values.at(i) < 0 ||
            values.at(i) > max_calls) {
            return std::nullopt;
        }
    }
    if (figures.size() < required_figures || values[2] == 0) {
        return std::nullopt;
    }
    const int percent = std::clamp(values[3], min_slowdown_percent, max_slowdown_percent);
    return gateway::stated_load{values[0], values[1], values[2], percent / 100.0};
}

// Statuses with which an upstream refuses a call. Any other one contradicts a refusal.
bool can_refuse(unsigned status)
{
    return status == 400 || status == 408 || status == 421 || status == 429 || status == 503;
}

void append_field(std::string& text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

std::string forwarded_request_fields(const http::fields& fields)
{
    const auto named = named_by_connection(fields);
    std::string text;
    for (const auto& item : fields) {
        const auto name = to_view(item.name_string());
        const bool is_dropped = contains(hop_by_hop_names, name) ||
                                contains(reserved_names, name) ||
                                (is_named(named, name) && !contains(end_to_end_names, name));
        if (!is_dropped) {
            append_field(text, name, to_view(item.value()));
        }
    }
    return text;
}

} // namespace

std::string request_id_of(const http::request<http::string_body>& message)
{
    const auto id = field(message, wire::request_id);
    return is_utf8(id) ? std::string(id) : std::string();
}

absl::StatusOr<gateway::call> decode_call(http::request<http::string_body> message)
{
    auto names = check_names(message);
    if (!names.ok()) {
        return names;
    }
    gateway::call call;
    call.method = to_view(message.method_string());
    call.target = to_view(message.target());
    call.keep_alive = message.keep_alive();
    if (message.count(http::field::host) != 1) {
        return invalid_field("Host", "must be given exactly once");
    }
    call.host = to_view(message[http::field::host]);
    const auto port = call.host.rfind(':');
    if (port != std::string::npos) {
        call.host.resize(port);
    }
    call.request_id = request_id_of(message);
    if (message.count(
            boost::beast::string_view(wire::request_id.data(), wire::request_id.size())) != 1) {
        return invalid_field(wire::request_id, "must be given exactly once");
    }
    const auto authorization = field(message, wire::authorization);
    if (absl::StartsWithIgnoreCase(to_absl(authorization), to_absl(wire::authorization_scheme))) {
        call.key = authorization.substr(wire::authorization_scheme.size());
    }
    for (const auto& status : {read_caller_timeout(message, call), read_token_count(message, call),
                               read_last_event(message, call)}) {
        if (!status.ok()) {
            return status;
        }
    }
    call.resumes = field(message, wire::resumes);
    read_model(message, call);
    call.forwarded_header = forwarded_request_fields(message);
    call.body = std::move(message.body());
    return call;
}

std::string encode_attempt(const gateway::call& call, const gateway::attempt_header& attempt)
{
    std::string text;
    text.reserve(512);
    text.append(call.method).append(" ").append(call.target).append(" HTTP/1.1\r\n");
    append_field(text, "Host", call.host);
    append_field(text, wire::request_id, call.request_id);
    text += call.forwarded_header;
    const auto time_left = std::chrono::duration_cast<std::chrono::milliseconds>(attempt.time_left);
    append_field(text, wire::time_left,
                 fmt::format("{}", std::max<std::int64_t>(time_left.count(), 1)));
    append_field(text, wire::expected_upstream, attempt.upstream.str());
    if (!attempt.team.empty()) {
        append_field(text, wire::team, attempt.team.str());
    }
    if (attempt.last_event) {
        append_field(text, wire::last_event, fmt::format("{}", *attempt.last_event));
    }
    if (attempt.urgency) {
        append_field(text, wire::urgency, fmt::format("{}", *attempt.urgency));
    }
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
        append_field(text, "Content-Length", fmt::format("{}", call.body.size()));
    }
    text += "\r\n";
    return text;
}

gateway::answer_header decode_answer(const http::response_header<>& header)
{
    gateway::answer_header answer;
    answer.status = header.result_int();
    answer.reason = to_view(header.reason());
    answer.request_id = field(header, wire::request_id);
    answer.states_not_run = !field(header, wire::not_run).empty() && can_refuse(answer.status);
    answer.upstream = field(header, wire::upstream_id);
    answer.is_encoded = header.count(http::field::content_encoding) != 0;
    answer.is_event_stream = absl::StartsWithIgnoreCase(
        to_absl(to_view(header[http::field::content_type])), "text/event-stream");
    answer.is_sealed = !field(header, wire::seal).empty();
    answer.is_leaving = field(header, wire::leaving) == "1";
    answer.retry_after = read_retry_after(to_view(header[http::field::retry_after]));
    read_rate_limit(field(header, wire::rate_limit), answer);
    answer.load = read_load(field(header, wire::upstream_load));
    const auto keep_alive = to_view(header[http::field::keep_alive]);
    const auto timeout = keep_alive.find("timeout=");
    if (timeout != std::string_view::npos) {
        const auto digits = keep_alive.substr(timeout + 8);
        const auto end = digits.find_first_not_of("0123456789");
        // An unparsable time-out counts as absent.
        answer.keep_alive_s = 0;
        static_cast<void>(absl::SimpleAtoi(to_absl(digits.substr(0, end)), &answer.keep_alive_s));
    }
    const auto named = named_by_connection(header);
    for (const auto& item : header) {
        const auto name = to_view(item.name_string());
        const bool is_dropped = contains(hop_by_hop_names, name) || is_named(named, name);
        if (!is_dropped || absl::EqualsIgnoreCase(to_absl(name), to_absl(wire::seal))) {
            append_field(answer.forwarded_header, name, to_view(item.value()));
        }
    }
    return answer;
}

} // namespace snipespar::platform
