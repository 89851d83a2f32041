#include "entry/completion_writer.h"

#include "base/json_reader.h"
#include "entry/refusal.h"
#include "entry/response_part.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace snipespar::entry {

namespace {

using nlohmann::json;

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json usage_of(const response_end& end)
{
    return {{"prompt_tokens", end.prompt_tokens},
            {"completion_tokens", end.completion_tokens},
            {"total_tokens", end.prompt_tokens + end.completion_tokens}};
}

} // namespace

completion_writer::completion_writer(std::string request_id, std::string model, bool chat)
    : request_id_(std::move(request_id)), model_(std::move(model)), chat_(chat)
{
}

void completion_writer::add(const std::string& event)
{
    absl::Status malformed;
    const json value = json_reader::parse(event, malformed);
    const json::json_pointer pointer(chat_ ? "/choices/0/delta/content" : "/choices/0/text");
    if (!value.is_discarded() && value.contains(pointer) && value[pointer].is_string()) {
        text_ += value[pointer].get<std::string>();
    }
}

std::string completion_writer::whole(const response_end& end) const
{
    json choice{{"index", 0}, {"finish_reason", end.finish_reason}};
    if (chat_) {
        choice["message"] = {{"role", "assistant"}, {"content", text_}};
    }
    else {
        choice["text"] = text_;
    }
    return dump({{"id", request_id_},
                 {"object", chat_ ? "chat.completion" : "text_completion"},
                 {"model", model_},
                 {"choices", json::array({std::move(choice)})},
                 {"usage", usage_of(end)}});
}

std::string completion_writer::last_event(const response_end& end) const
{
    json choice{{"index", 0}, {"finish_reason", end.finish_reason}};
    if (chat_) {
        choice["delta"] = json::object();
    }
    else {
        choice["text"] = "";
    }
    return dump({{"id", request_id_},
                 {"object", chat_ ? "chat.completion.chunk" : "text_completion"},
                 {"model", model_},
                 {"choices", json::array({std::move(choice)})},
                 {"usage", usage_of(end)}});
}

std::string error_body(const refusal& error)
{
    json body{{"type", "snipespar_error"},
              {"code", error.code},
              {"message", error.message},
              {"ran", to_string(error.ran)}};
    if (error.retry_after) {
        body["retry_after_ms"] =
            std::chrono::ceil<std::chrono::milliseconds>(*error.retry_after).count();
    }
    return dump({{"error", std::move(body)}});
}

} // namespace snipespar::entry
