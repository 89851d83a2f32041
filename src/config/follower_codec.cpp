#include "config/follower_codec.h"

#include "base/cbor.h"
#include "base/json_reader.h"

namespace snipespar::config {

namespace {

using json = nlohmann::json;

std::uint64_t to_microseconds(duration value)
{
    return static_cast<std::uint64_t>(value.count());
}

struct message_encoder {
    json operator()(const report_query& message) const
    {
        return {{"kind", "report_query"},
                {"sent", to_microseconds(message.sent.time_since_epoch())}};
    }

    json operator()(const report_response& message) const
    {
        json value{{"kind", "report_answer"},
                   {"sent", to_microseconds(message.sent.time_since_epoch())},
                   {"failure_domain", message.failure_domain.str()},
                   {"version", message.report.version},
                   {"newest_known", message.report.newest_known}};
        const auto add_age = [&](const char* name, const std::optional<duration>& age) {
            if (age) {
                value[name] = to_microseconds(*age);
            }
        };
        add_age("confirmed_age", message.report.confirmed_age);
        add_age("call_failed_age", message.report.call_failed_age);
        add_age("outage_age", message.report.outage_age);
        return value;
    }

    json operator()(const root_query&) const { return {{"kind", "root_query"}}; }

    json operator()(const root_response& message) const
    {
        return {{"kind", "root_answer"}, {"text", message.text}};
    }

    json operator()(const part_query& message) const
    {
        return {{"kind", "part_query"}, {"sha256", message.sha256}};
    }

    json operator()(const part_response& message) const
    {
        return {{"kind", "part_answer"}, {"sha256", message.sha256}, {"bytes", message.bytes}};
    }
};

// Ages and times beyond this are invalid; the limit also prevents overflow in arithmetic on them.
constexpr std::uint64_t max_microseconds = std::uint64_t{1} << 60U;

duration read_duration(const json_reader& fields, const char* name)
{
    const auto value = fields.integer<std::uint64_t>(name);
    if (value > max_microseconds) {
        fields.fail(name, "is out of range");
        return {};
    }
    return duration(static_cast<duration::rep>(value));
}

std::optional<duration> read_age(const json_reader& fields, const char* name)
{
    return fields.has(name) ? std::optional(read_duration(fields, name)) : std::nullopt;
}

report_response read_report_response(const json_reader& fields)
{
    report_response message;
    message.sent = time_point(read_duration(fields, "sent"));
    message.failure_domain = failure_domain_id(fields.text("failure_domain"));
    message.report.version = fields.integer<std::uint64_t>("version");
    message.report.newest_known = fields.integer<std::uint64_t>("newest_known");
    message.report.confirmed_age = read_age(fields, "confirmed_age");
    message.report.call_failed_age = read_age(fields, "call_failed_age");
    message.report.outage_age = read_age(fields, "outage_age");
    return message;
}

follower_message read_message(const json_reader& fields)
{
    const auto kind = fields.text("kind");
    if (kind == "report_query") {
        return report_query{time_point(read_duration(fields, "sent"))};
    }
    if (kind == "report_answer") {
        return read_report_response(fields);
    }
    if (kind == "root_query") {
        return root_query{};
    }
    if (kind == "root_answer") {
        return root_response{fields.text("text")};
    }
    if (kind == "part_query") {
        return part_query{fields.text("sha256")};
    }
    if (kind != "part_answer") {
        fields.fail("kind", "is unknown");
    }
    return part_response{fields.text("sha256"), fields.text("bytes")};
}

} // namespace

std::string encode(const follower_message& message)
{
    return to_cbor(std::visit(message_encoder{}, message));
}

absl::StatusOr<follower_message> decode_follower_message(std::string_view payload)
{
    const auto value = from_cbor(payload);
    if (!value.ok()) {
        return value.status();
    }
    absl::Status status;
    const json_reader fields(*value, "message", status);
    auto message = read_message(fields);
    if (!status.ok()) {
        return status;
    }
    return message;
}

} // namespace snipespar::config
