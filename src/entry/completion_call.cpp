#include "entry/completion_call.h"

#include "base/stable_hash.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace snipespar::entry {

namespace {

using nlohmann::json;

constexpr std::size_t prefix_bytes = 256;

// The parser recurses for each level, so deep nesting is rejected before it exhausts the stack.
constexpr int max_depth = 64;

bool nests_too_deeply(std::string_view body)
{
    int depth = 0;
    bool in_string = false;
    bool escaped = false;
    for (const char byte : body) {
        if (in_string) {
            in_string = escaped || byte != '"';
            escaped = !escaped && byte == '\\';
            continue;
        }
        in_string = byte == '"';
        depth += byte == '[' || byte == '{' ? 1 : 0;
        depth -= byte == ']' || byte == '}' ? 1 : 0;
        if (depth > max_depth) {
            return true;
        }
    }
    return false;
}

absl::Status bad_field(const char* field, const char* expected)
{
    return absl::InvalidArgumentError(std::string(field) + ": must be " + expected);
}

// The text that counts as the prompt.
std::string prompt_text(const json& body, bool chat)
{
    if (!chat) {
        return body.at("prompt").get<std::string>();
    }
    return body.at("messages").dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::Status check_prompt(const json& body, bool chat)
{
    if (!chat) {
        const bool is_text = body.contains("prompt") && body["prompt"].is_string();
        return is_text ? absl::OkStatus() : bad_field("prompt", "a string");
    }
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        return bad_field("messages", "a list with at least one message");
    }
    const bool all_objects = std::all_of(messages->begin(), messages->end(),
                                         [](const json& item) { return item.is_object(); });
    return all_objects ? absl::OkStatus() : bad_field("messages", "a list of objects");
}

absl::Status read_max_tokens(const json& body, completion_call& call)
{
    call.max_tokens = default_max_tokens;
    for (const char* field : {"max_tokens", "max_completion_tokens"}) {
        const auto found = body.find(field);
        if (found == body.end() || found->is_null()) {
            continue;
        }
        if (!found->is_number_unsigned() || found->get<std::uint64_t>() == 0) {
            return bad_field(field, "a positive whole number");
        }
        call.max_tokens = found->get<std::uint64_t>();
    }
    return absl::OkStatus();
}

absl::Status read_stream(const json& body, completion_call& call)
{
    const auto found = body.find("stream");
    if (found == body.end() || found->is_null()) {
        return absl::OkStatus();
    }
    if (!found->is_boolean()) {
        return bad_field("stream", "true or false");
    }
    call.stream = found->get<bool>();
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<completion_call> parse_completion_call(std::string_view text, bool chat)
{
    if (nests_too_deeply(text)) {
        return absl::InvalidArgumentError("body: nests too deeply");
    }
    constexpr bool allow_exceptions = false;
    const json body = json::parse(text, nullptr, allow_exceptions);
    if (!body.is_object()) {
        return absl::InvalidArgumentError("body: must be a JSON object");
    }
    completion_call call;
    call.chat = chat;
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string()) {
        return bad_field("model", "a string");
    }
    call.model = model->get<std::string>();
    for (const auto& status :
         {check_prompt(body, chat), read_max_tokens(body, call), read_stream(body, call)}) {
        if (!status.ok()) {
            return status;
        }
    }
    if (const auto n = body.find("n"); n != body.end() && *n != 1) {
        return bad_field("n", "1");
    }
    const std::string prompt = prompt_text(body, chat);
    call.max_prompt_tokens = prompt.size();
    call.prefix_hash = stable_hash(std::string_view(prompt).substr(0, prefix_bytes));
    return call;
}

} // namespace snipespar::entry
