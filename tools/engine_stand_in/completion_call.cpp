#include "completion_call.h"

#include <nlohmann/json.hpp>

namespace engine_stand_in {

namespace {

std::string join_messages(const nlohmann::json& messages)
{
    std::string prompt;
    for (const auto& message : messages) {
        prompt += message.at("role").get<std::string>();
        prompt += ": ";
        prompt += message.at("content").get<std::string>();
        prompt += '\n';
    }
    return prompt;
}

} // namespace

std::uint32_t completion_call::prompt_tokens() const
{
    constexpr std::size_t bytes_per_token = 4;
    return static_cast<std::uint32_t>((prompt.size() + bytes_per_token - 1) / bytes_per_token);
}

std::optional<completion_call> completion_call::parse(const std::string& body, bool chat)
{
    try {
        const auto json = nlohmann::json::parse(body);
        completion_call call;
        call.model = json.at("model").get<std::string>();
        call.prompt =
            chat ? join_messages(json.at("messages")) : json.at("prompt").get<std::string>();
        call.request_id = json.value("request_id", std::string{});
        call.max_tokens = json.value("max_tokens", call.max_tokens);
        call.resume_from = json.value("resume_from", call.resume_from);
        call.priority = json.value("priority", call.priority);
        call.stream = json.value("stream", false);
        call.chat = chat;
        return call;
    }
    catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace engine_stand_in
