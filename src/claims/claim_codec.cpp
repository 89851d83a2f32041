#include "claims/claim_codec.h"

#include <absl/strings/escaping.h>
#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace snipespar::claims {

namespace {

using nlohmann::json;

// Reads the members of one JSON object. Keeps the first error; later reads return defaults.
class member_reader {
public:
    explicit member_reader(const json& object) : object_(&object)
    {
        if (!object.is_object()) {
            fail("object");
        }
    }

    const absl::Status& status() const { return status_; }
    void fail(std::string_view member)
    {
        if (status_.ok()) {
            status_ =
                absl::InvalidArgumentError(fmt::format("invalid or missing member: {}", member));
        }
    }

    // The member, or null if it is absent, which is an error.
    const json* member(const char* name)
    {
        const json* found = optional_member(name);
        if (found == nullptr) {
            fail(name);
        }
        return found;
    }

    const json* optional_member(const char* name) const
    {
        if (!object_->is_object()) {
            return nullptr;
        }
        const auto it = object_->find(name);
        return it == object_->end() ? nullptr : &*it;
    }

    std::string text(const char* name)
    {
        const json* found = member(name);
        if (found == nullptr || !found->is_string()) {
            fail(name);
            return {};
        }
        return found->get<std::string>();
    }

    std::uint64_t number(const char* name)
    {
        const json* found = member(name);
        const bool integer = found != nullptr && found->is_number_integer();
        if (!integer || (!found->is_number_unsigned() && found->get<std::int64_t>() < 0)) {
            fail(name);
            return 0;
        }
        return found->get<std::uint64_t>();
    }

    template <class Integer>
    Integer bounded(const char* name)
    {
        const std::uint64_t value = number(name);
        if (!std::in_range<Integer>(value)) {
            fail(name);
            return 0;
        }
        return static_cast<Integer>(value);
    }

    digest digest_member(const char* name)
    {
        const auto value = parse_digest(text(name));
        if (!value) {
            fail(name);
        }
        return value.value_or(digest{});
    }

    wall_time wall(const char* name)
    {
        return wall_time(std::chrono::milliseconds(bounded<std::int64_t>(name)));
    }

    duration span(const char* name) { return duration(bounded<std::int64_t>(name)); }

private:
    const json* object_;
    absl::Status status_;
};

constexpr std::array kind_names{"claimed", "released", "finished", "unknown"};

record_kind read_kind(member_reader& reader, const char* name)
{
    const std::string text = reader.text(name);
    for (std::size_t i = 0; i < kind_names.size(); ++i) {
        if (text == kind_names.at(i)) {
            return static_cast<record_kind>(i);
        }
    }
    reader.fail(name);
    return record_kind::unknown;
}

void write_nonce(json& object, const claim_nonce& nonce)
{
    object["host"] = nonce.claimer.host.str();
    object["start"] = nonce.claimer.start;
    object["number"] = nonce.number;
}

claim_nonce read_nonce(member_reader& reader)
{
    return {{host_id(reader.text("host")), reader.number("start")}, reader.number("number")};
}

json write_answer(const recorded_answer& answer)
{
    json object{{"status", answer.status},
                {"type", answer.content_type},
                {"digest", to_string(answer.body_digest)}};
    if (answer.body) {
        object["body"] = absl::Base64Escape(*answer.body);
    }
    return object;
}

absl::StatusOr<recorded_answer> read_answer(const json& value)
{
    member_reader reader(value);
    recorded_answer answer;
    answer.status = reader.bounded<int>("status");
    answer.content_type = reader.text("type");
    answer.body_digest = reader.digest_member("digest");
    if (reader.optional_member("body") != nullptr) {
        std::string body;
        if (!absl::Base64Unescape(reader.text("body"), &body)) {
            reader.fail("body");
        }
        answer.body = std::move(body);
    }
    if (!reader.status().ok()) {
        return reader.status();
    }
    return answer;
}

std::optional<recorded_answer> read_optional_answer(member_reader& reader)
{
    const json* found = reader.optional_member("answer");
    if (found == nullptr) {
        return std::nullopt;
    }
    auto answer = read_answer(*found);
    if (!answer.ok()) {
        reader.fail("answer");
        return std::nullopt;
    }
    return *std::move(answer);
}

json write_record(const journal_record& record)
{
    json object{{"key", to_string(record.key)},
                {"kind", kind_names.at(static_cast<std::size_t>(record.kind))},
                {"request", to_string(record.fingerprint)},
                {"at", record.at.time_since_epoch().count()}};
    write_nonce(object, record.nonce);
    if (record.answer) {
        object["answer"] = write_answer(*record.answer);
    }
    return object;
}

journal_record read_record(member_reader& reader)
{
    journal_record record;
    record.key = reader.digest_member("key");
    record.nonce = read_nonce(reader);
    record.kind = read_kind(reader, "kind");
    record.fingerprint = reader.digest_member("request");
    record.at = reader.wall("at");
    record.answer = read_optional_answer(reader);
    const bool finished = record.kind == record_kind::finished;
    if (finished != record.answer.has_value()) {
        reader.fail("answer");
    }
    return record;
}

segment_ref read_segment_ref(member_reader& reader)
{
    return {reader.bounded<std::uint32_t>("slot"), reader.number("version"), reader.wall("last")};
}

seal_reservation read_reservation(member_reader& reader)
{
    return {reader.bounded<std::uint32_t>("slot"),
            reader.number("version"),
            {host_id(reader.text("host")), reader.number("start")}};
}

// Reads an array member, each element with `read`.
template <class Read>
auto read_array(member_reader& reader, const char* name, Read read)
{
    std::vector<decltype(read(reader))> items;
    const json* found = reader.member(name);
    if (found == nullptr || !found->is_array()) {
        reader.fail(name);
        return items;
    }
    for (const auto& element : *found) {
        member_reader item(element);
        items.push_back(read(item));
        if (!item.status().ok()) {
            const auto fault = item.status().message();
            reader.fail(fmt::format("{}: {}", name, std::string_view(fault.data(), fault.size())));
        }
    }
    return items;
}

json write_records(const std::vector<journal_record>& records)
{
    json list = json::array();
    for (const auto& record : records) {
        list.push_back(write_record(record));
    }
    return list;
}

json write_page(const journal_page& page)
{
    json object{{"kind", "claim-page"}, {"records", write_records(page.records)}};
    object["sealed"] = json::array();
    for (const auto& ref : page.sealed) {
        object["sealed"].push_back({{"slot", ref.slot},
                                    {"version", ref.version},
                                    {"last", ref.last_at.time_since_epoch().count()}});
    }
    if (page.reservation) {
        object["reservation"] = {{"slot", page.reservation->slot},
                                 {"version", page.reservation->version},
                                 {"host", page.reservation->writer.host.str()},
                                 {"start", page.reservation->writer.start}};
    }
    return object;
}

journal_page read_page(member_reader& reader)
{
    journal_page page;
    page.sealed = read_array(reader, "sealed", read_segment_ref);
    page.records = read_array(reader, "records", read_record);
    if (const json* found = reader.optional_member("reservation")) {
        member_reader item(*found);
        page.reservation = read_reservation(item);
        if (!item.status().ok()) {
            reader.fail("reservation");
        }
    }
    return page;
}

json write_decision(const claim_decision& decision)
{
    constexpr std::array names{"granted", "replayed",   "in-progress",
                               "unknown", "mismatched", "refused"};
    json object{{"decision", names.at(decision.index())}};
    if (const auto* replayed = std::get_if<claim_replayed>(&decision)) {
        object["answer"] = write_answer(replayed->answer);
    }
    if (const auto* running = std::get_if<claim_in_progress>(&decision)) {
        object["retry_after_us"] = running->retry_after.count();
    }
    if (const auto* refused = std::get_if<claim_refused>(&decision)) {
        object["retry_after_us"] = refused->retry_after.count();
        object["may_be_written"] = refused->may_be_written;
    }
    return object;
}

claim_decision read_refusal(member_reader& reader)
{
    const json* flag = reader.member("may_be_written");
    if (flag == nullptr || !flag->is_boolean()) {
        reader.fail("may_be_written");
        return claim_refused{};
    }
    return claim_refused{reader.span("retry_after_us"), flag->get<bool>()};
}

claim_decision read_decision(member_reader& reader)
{
    const std::string name = reader.text("decision");
    if (name == "granted") {
        return claim_granted{};
    }
    if (name == "replayed") {
        auto answer = read_optional_answer(reader);
        if (!answer) {
            reader.fail("answer");
        }
        return claim_replayed{std::move(answer).value_or(recorded_answer{})};
    }
    if (name == "in-progress") {
        return claim_in_progress{reader.span("retry_after_us")};
    }
    if (name == "unknown") {
        return claim_outcome_unknown{};
    }
    if (name == "mismatched") {
        return claim_mismatched{};
    }
    if (name != "refused") {
        reader.fail("decision");
    }
    return read_refusal(reader);
}

json write_message(const forwarded_claim& message)
{
    json object{{"type", "claim"},
                {"key", to_string(message.key)},
                {"request", to_string(message.fingerprint)},
                {"remaining_us", message.remaining.count()}};
    write_nonce(object, message.nonce);
    return object;
}

json write_message(const claim_reply& message)
{
    json object = write_decision(message.decision);
    object["type"] = "claim-reply";
    write_nonce(object, message.nonce);
    return object;
}

json write_message(const reply_receipt& message)
{
    json object{{"type", "reply-receipt"}};
    write_nonce(object, message.nonce);
    return object;
}

json write_message(const forwarded_outcome& message)
{
    const claim_outcome& outcome = message.outcome;
    json object{{"type", "outcome"},
                {"key", to_string(outcome.key)},
                {"kind", kind_names.at(static_cast<std::size_t>(outcome.kind))},
                {"request", to_string(outcome.fingerprint)}};
    write_nonce(object, outcome.nonce);
    if (outcome.answer) {
        object["answer"] = write_answer(*outcome.answer);
    }
    return object;
}

json write_message(const outcome_reply& message)
{
    json object{{"type", "outcome-reply"}};
    write_nonce(object, message.nonce);
    return object;
}

forwarded_outcome read_outcome(member_reader& reader)
{
    claim_outcome outcome;
    outcome.key = reader.digest_member("key");
    outcome.nonce = read_nonce(reader);
    outcome.fingerprint = reader.digest_member("request");
    outcome.kind = read_kind(reader, "kind");
    outcome.answer = read_optional_answer(reader);
    const bool finished = outcome.kind == record_kind::finished;
    if (outcome.kind == record_kind::claimed || finished != outcome.answer.has_value()) {
        reader.fail("kind");
    }
    return {std::move(outcome)};
}

claim_message read_message(member_reader& reader)
{
    const std::string type = reader.text("type");
    if (type == "claim") {
        return forwarded_claim{reader.digest_member("key"), read_nonce(reader),
                               reader.digest_member("request"), reader.span("remaining_us")};
    }
    if (type == "claim-reply") {
        return claim_reply{read_nonce(reader), read_decision(reader)};
    }
    if (type == "reply-receipt") {
        return reply_receipt{read_nonce(reader)};
    }
    if (type == "outcome") {
        return read_outcome(reader);
    }
    if (type != "outcome-reply") {
        reader.fail("type");
    }
    return outcome_reply{read_nonce(reader)};
}

} // namespace

nlohmann::json encode(const object_value& value)
{
    if (const auto* page = std::get_if<journal_page>(&value)) {
        return write_page(*page);
    }
    return {{"kind", "claim-segment"},
            {"records", write_records(std::get<journal_segment>(value).records)}};
}

absl::StatusOr<object_value> decode_object(const nlohmann::json& value)
{
    member_reader reader(value);
    const std::string kind = reader.text("kind");
    object_value result;
    if (kind == "claim-page") {
        result = read_page(reader);
    }
    else {
        result = journal_segment{read_array(reader, "records", read_record)};
    }
    if (kind != "claim-page" && kind != "claim-segment") {
        reader.fail("kind");
    }
    if (!reader.status().ok()) {
        return reader.status();
    }
    return result;
}

nlohmann::json encode(const claim_message& message)
{
    return std::visit([](const auto& item) { return write_message(item); }, message);
}

absl::StatusOr<claim_message> decode_message(const nlohmann::json& value)
{
    member_reader reader(value);
    claim_message message = read_message(reader);
    if (!reader.status().ok()) {
        return reader.status();
    }
    return message;
}

} // namespace snipespar::claims
