#include "limits/limits_codec.h"

#include "base/json_reader.h"

#include <absl/status/status.h>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace snipespar::limits {

namespace {

using nlohmann::json;

// Maximum amount in a message: a full limit, with room for a limit that was lowered since.
constexpr auto max_encoded_amount = static_cast<std::uint64_t>(max_amount) * 8;

std::uint64_t encode_amount(micro_tokens amount)
{
    return static_cast<std::uint64_t>(amount);
}

json encode(const incarnation& process)
{
    return {{"host", process.host.str()}, {"start", process.start}};
}

json encode(const std::vector<incarnation>& processes)
{
    json list = json::array();
    for (const auto& process : processes) {
        list.push_back(encode(process));
    }
    return list;
}

json encode_credit(std::string_view kind, const limit_id& limit, std::uint64_t generation,
                   const credit& value)
{
    return {{"kind", kind},
            {"limit", limit.str()},
            {"generation", generation},
            {"slot", value.slot},
            {"capacity", encode_amount(value.capacity)},
            {"level", encode_amount(value.level)}};
}

json encode(const lend_item& item)
{
    return encode_credit("lend", item.limit, item.generation, item.lent);
}

json encode(const give_back_item& item)
{
    return encode_credit("give_back", item.limit, item.generation, item.returned);
}

json encode(const claim_item& item)
{
    return {{"kind", "claim"},
            {"group", item.group},
            {"slot", item.slot},
            {"generation", item.generation}};
}

json encode(const report_item& item)
{
    json borrowed = json::array();
    for (const auto& amount : item.borrowed) {
        borrowed.push_back(
            {{"limit", amount.limit.str()}, {"capacity", encode_amount(amount.capacity)}});
    }
    return {{"kind", "report"},
            {"group", item.group},
            {"slot", item.slot},
            {"generation", item.generation},
            {"borrowed", std::move(borrowed)},
            {"owned_generation", item.owned_generation},
            {"lent_to", encode(item.lent_to)}};
}

json encode_body(const batch_message& message)
{
    json items = json::array();
    for (const auto& item : message.items) {
        items.push_back(std::visit([](const auto& value) { return encode(value); }, item));
    }
    return {{"kind", "batch"}, {"sequence", message.sequence}, {"items", std::move(items)}};
}

json encode_body(const ack_message& message)
{
    return {{"kind", "ack"}, {"sequence", message.sequence}};
}

json encode_body(const credit_request& message)
{
    return {{"kind", "credit_request"},
            {"request", message.request},
            {"limit", message.limit.str()},
            {"needed", encode_amount(message.needed)},
            {"wanted", encode_amount(message.wanted)}};
}

json encode_body(const credit_answer& message)
{
    return {{"kind", "credit_answer"},
            {"request", message.request},
            {"limit", message.limit.str()},
            {"sequence", message.sequence},
            {"more_may_follow", message.more_may_follow}};
}

json encode_body(const recall_message& message)
{
    return {{"kind", "recall"},
            {"limit", message.limit.str()},
            {"beneficiary", encode(message.beneficiary)}};
}

json encode_body(const owners_request& message)
{
    return {{"kind", "owners_request"}, {"group", message.group}};
}

json encode_body(const owners_message& message)
{
    json value = limits::encode(message.table);
    value["kind"] = "owners";
    value["group"] = message.group;
    return value;
}

json encode_body(const resume_request& message)
{
    return {{"kind", "resume_request"}, {"pause", message.pause}};
}

json encode_body(const resume_answer& message)
{
    return {{"kind", "resume_answer"}, {"pause", message.pause}};
}

json encode_body(const closed_message& /*message*/)
{
    return {{"kind", "closed"}};
}

micro_tokens read_amount(const json_reader& reader, const char* name)
{
    const auto value = reader.integer<std::uint64_t>(name);
    if (value > max_encoded_amount) {
        reader.fail(reader.path() + "." + name, "is too large");
        return 0;
    }
    return static_cast<micro_tokens>(value);
}

std::size_t read_slot(const json_reader& reader)
{
    const auto slot = reader.integer<std::uint64_t>("slot");
    if (slot >= slot_count) {
        reader.fail(reader.path() + ".slot", "is out of range");
        return 0;
    }
    return slot;
}

limit_id read_limit(const json_reader& reader)
{
    return limit_id(reader.text("limit"));
}

incarnation read_process(const json_reader& reader)
{
    return {host_id(reader.text("host")), reader.integer<std::uint64_t>("start")};
}

credit read_credit(const json_reader& reader)
{
    credit value{read_slot(reader), read_amount(reader, "capacity"), read_amount(reader, "level")};
    if (value.level > value.capacity) {
        reader.fail(reader.path() + ".level", "exceeds the capacity");
    }
    return value;
}

report_item read_report(const json_reader& reader)
{
    report_item item;
    item.group = reader.integer<std::uint32_t>("group");
    item.slot = read_slot(reader);
    item.generation = reader.integer<std::uint64_t>("generation");
    item.owned_generation = reader.integer<std::uint64_t>("owned_generation");
    reader.each("borrowed", [&](const json_reader& amount) {
        item.borrowed.push_back({read_limit(amount), read_amount(amount, "capacity")});
    });
    reader.each("lent_to",
                [&](const json_reader& process) { item.lent_to.push_back(read_process(process)); });
    return item;
}

channel_item read_item(const json_reader& reader)
{
    const auto kind = reader.text("kind");
    if (kind == "report") {
        return read_report(reader);
    }
    const auto generation = reader.integer<std::uint64_t>("generation");
    if (kind == "lend") {
        return lend_item{read_limit(reader), generation, read_credit(reader)};
    }
    if (kind == "give_back") {
        return give_back_item{read_limit(reader), generation, read_credit(reader)};
    }
    if (kind != "claim") {
        reader.fail(reader.path() + ".kind", "is unknown");
    }
    return claim_item{reader.integer<std::uint32_t>("group"), read_slot(reader), generation};
}

batch_message read_batch(const json_reader& reader)
{
    batch_message message{reader.integer<std::uint64_t>("sequence"), {}};
    reader.each("items",
                [&](const json_reader& item) { message.items.push_back(read_item(item)); });
    return message;
}

recall_message read_recall(const json_reader& reader, const json& value, absl::Status& status)
{
    recall_message message{read_limit(reader), {}};
    const auto found = value.find("beneficiary");
    if (found == value.end()) {
        reader.fail("message.beneficiary", "is missing");
        return message;
    }
    message.beneficiary = read_process(json_reader(*found, "message.beneficiary", status));
    return message;
}

allocation_table read_table(const json_reader& reader)
{
    allocation_table table;
    std::size_t slot = 0;
    reader.each("slots", [&](const json_reader& record) {
        if (slot < slot_count) {
            table.slots.at(slot) = {record.integer<std::uint64_t>("generation"),
                                    read_process(record)};
        }
        ++slot;
    });
    if (slot != slot_count) {
        reader.fail(reader.path() + ".slots", "has the wrong length");
    }
    return table;
}

message_body read_body(const json_reader& reader, const json& value, absl::Status& status)
{
    const auto kind = reader.text("kind");
    if (kind == "batch") {
        return read_batch(reader);
    }
    if (kind == "ack") {
        return ack_message{reader.integer<std::uint64_t>("sequence")};
    }
    if (kind == "credit_request") {
        return credit_request{reader.integer<std::uint64_t>("request"), read_limit(reader),
                              read_amount(reader, "needed"), read_amount(reader, "wanted")};
    }
    if (kind == "credit_answer") {
        return credit_answer{reader.integer<std::uint64_t>("request"), read_limit(reader),
                             reader.integer<std::uint64_t>("sequence"),
                             reader.flag("more_may_follow")};
    }
    if (kind == "recall") {
        return read_recall(reader, value, status);
    }
    if (kind == "owners_request") {
        return owners_request{reader.integer<std::uint32_t>("group")};
    }
    if (kind == "owners") {
        return owners_message{reader.integer<std::uint32_t>("group"), read_table(reader)};
    }
    if (kind == "resume_request") {
        return resume_request{reader.integer<std::uint64_t>("pause")};
    }
    if (kind == "resume_answer") {
        return resume_answer{reader.integer<std::uint64_t>("pause")};
    }
    if (kind != "closed") {
        reader.fail("message.kind", "is unknown");
    }
    return closed_message{};
}

} // namespace

json encode(const message_body& body)
{
    return std::visit([](const auto& value) { return encode_body(value); }, body);
}

absl::StatusOr<message_body> decode_message(const json& value)
{
    absl::Status status;
    const json_reader reader(value, "message", status);
    message_body body = read_body(reader, value, status);
    if (!status.ok()) {
        return status;
    }
    return body;
}

json encode(const peer_message& message)
{
    return {
        {"from", encode(message.from)}, {"to", encode(message.to)}, {"body", encode(message.body)}};
}

absl::StatusOr<peer_message> decode_envelope(const json& value)
{
    absl::Status status;
    const json_reader reader(value, "envelope", status);
    if (!reader.has("from") || !reader.has("to") || !reader.has("body")) {
        return absl::InvalidArgumentError("envelope: from, to or body is missing");
    }
    peer_message message;
    message.from = read_process(json_reader(value.at("from"), "envelope.from", status));
    message.to = read_process(json_reader(value.at("to"), "envelope.to", status));
    auto body = decode_message(value.at("body"));
    if (!status.ok() || !body.ok()) {
        return status.ok() ? body.status() : status;
    }
    message.body = *std::move(body);
    return message;
}

json encode(const allocation_table& table)
{
    json slots = json::array();
    for (const auto& record : table.slots) {
        json slot = encode(record.owner);
        slot["generation"] = record.generation;
        slots.push_back(std::move(slot));
    }
    return {{"slots", std::move(slots)}};
}

absl::StatusOr<allocation_table> decode_table(const json& value)
{
    absl::Status status;
    const json_reader reader(value, "table", status);
    allocation_table table = read_table(reader);
    if (!status.ok()) {
        return status;
    }
    return table;
}

} // namespace snipespar::limits
