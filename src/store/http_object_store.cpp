#include "store/http_object_store.h"

#include "base/json_reader.h"
#include "base/json_text.h"
#include "telemetry/logger.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <fmt/core.h>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snipespar::store {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr unsigned http_version = 11;
// Leaves room for lists of keys, which can exceed the largest value.
constexpr std::size_t max_body_bytes = 16 * max_value_bytes;

std::string entity_tag(revision value)
{
    return fmt::format("\"{}\"", value);
}

// The revision in an entity tag, or 0.
revision parse_tag(std::string text)
{
    std::erase(text, '"');
    revision value = 0;
    return absl::SimpleAtoi(text, &value) ? value : 0;
}

// Builds the HTTP request of each call.
struct request_builder {
    using message = net::http_client::request;

    message operator()(const get_object& call) const
    {
        return {http::verb::get, "/objects/" + call.key, http_version};
    }

    message operator()(const list_objects& call) const
    {
        return {http::verb::get, "/objects?prefix=" + call.prefix, http_version};
    }

    message operator()(const put_object& call) const
    {
        message result{http::verb::put, "/objects/" + call.key, http_version};
        result.body() = call.value;
        if (call.expected == revision{0}) {
            result.set(http::field::if_none_match, "*");
        }
        else if (call.expected) {
            result.set(http::field::if_match, entity_tag(*call.expected));
        }
        return result;
    }

    message operator()(const erase_object& call) const
    {
        message result{http::verb::delete_, "/objects/" + call.key, http_version};
        result.set(http::field::if_match, entity_tag(call.expected));
        return result;
    }

    message operator()(const watch_object& call) const
    {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(call.wait);
        return {
            http::verb::get,
            fmt::format("/objects/{}?watch&from={}&wait_ms={}", call.key, call.after, wait.count()),
            http_version};
    }

    message operator()(const list_hosts&) const
    {
        return {http::verb::get, "/hosts", http_version};
    }
};

// The status of a call that got a response.
absl::Status status_of(const net::http_client::response& http_response)
{
    switch (http_response.result()) {
    case http::status::ok:
    case http::status::created:
    case http::status::no_content:
        return absl::OkStatus();
    case http::status::not_found:
        return absl::NotFoundError("no such object");
    case http::status::precondition_failed:
        return absl::AbortedError("the object is at another revision");
    case http::status::too_many_requests:
        return absl::ResourceExhaustedError("the platform's rate limit is exceeded");
    case http::status::service_unavailable:
        return absl::UnavailableError("the platform is unavailable");
    default:
        break;
    }
    const auto text = fmt::format("status {}", http_response.result_int());
    const bool is_server_error =
        http::to_status_class(http_response.result()) == http::status_class::server_error;
    return is_server_error ? absl::UnknownError(text) : absl::InvalidArgumentError(text);
}

// The raw text of each item of the array `name` in a response; an absent one is empty.
absl::StatusOr<std::vector<std::string_view>> split_items(std::string_view body,
                                                          std::string_view name)
{
    const auto members = split_json_object(body);
    if (!members.ok()) {
        return members.status();
    }
    const auto found =
        std::ranges::find(*members, name, [](const auto& item) { return item.first; });
    return found == members->end() ? std::vector<std::string_view>()
                                   : split_json_array(found->second);
}

// Reads the array `name` of a response. An item that cannot be read is left out alone.
template <class Item, class Read>
void read_items(const std::string& body, const char* name, object_reply& reply,
                std::vector<Item>& items, Read read)
{
    const auto texts = split_items(body, name);
    if (!texts.ok()) {
        reply.status = texts.status();
        return;
    }
    for (std::size_t i = 0; i < texts->size(); ++i) {
        absl::Status malformed;
        const auto content = json_reader::parse((*texts)[i], malformed);
        auto item = read(json_reader(content, fmt::format("{}[{}]", name, i), malformed));
        if (malformed.ok()) {
            items.push_back(std::move(item));
        }
        else {
            telemetry::logger().warning(
                "object_unreadable",
                {{"kind", name}, {"reason", std::string(malformed.message())}});
        }
    }
}

void read_list(const std::string& body, object_reply& reply)
{
    read_items(body, "objects", reply, reply.objects, [](const json_reader& item) {
        return object{item.text("key"), {}, item.integer<revision>("revision")};
    });
}

void read_hosts(const std::string& body, object_reply& reply)
{
    read_items(body, "hosts", reply, reply.hosts, [](const json_reader& item) {
        return host_record{host_id(item.text("host")),
                           failure_domain_id(item.text("failure_domain")), item.text("address"),
                           item.text("role"), item.flag("leaving")};
    });
}

void read_response(const request& call, net::http_client::response http_response,
                   object_reply& reply)
{
    if (std::holds_alternative<list_hosts>(call)) {
        return read_hosts(http_response.body(), reply);
    }
    if (std::holds_alternative<list_objects>(call)) {
        return read_list(http_response.body(), reply);
    }
    const auto tag = parse_tag(std::string(http_response[http::field::etag]));
    if (const auto* put = std::get_if<put_object>(&call)) {
        reply.objects.push_back({put->key, {}, tag});
    }
    else if (const auto* get = std::get_if<get_object>(&call)) {
        reply.objects.push_back({get->key, std::move(http_response.body()), tag});
    }
    else if (const auto* watch = std::get_if<watch_object>(&call)) {
        if (http_response.result() == http::status::ok) {
            reply.objects.push_back({watch->key, std::move(http_response.body()), tag});
        }
    }
}

bool is_mutation(const request& call)
{
    return std::holds_alternative<put_object>(call) || std::holds_alternative<erase_object>(call);
}

} // namespace

http_object_store::http_object_store(std::string address, std::uint16_t port, duration timeout)
    : client_(std::move(address), port, max_body_bytes), timeout_(timeout)
{
}

asio::awaitable<object_reply> http_object_store::perform(request call)
{
    const auto* watch = std::get_if<watch_object>(&call);
    const auto timeout = watch == nullptr ? timeout_ : timeout_ + watch->wait;
    auto http_response = co_await client_.call(std::visit(request_builder{}, call), timeout);
    object_reply reply;
    if (!http_response.ok()) {
        const bool is_retryable = absl::IsUnknown(http_response.status()) && !is_mutation(call);
        reply.status = is_retryable ? absl::UnavailableError(http_response.status().message())
                                    : http_response.status();
        co_return reply;
    }
    reply.status = status_of(*http_response);
    if (reply.status.ok()) {
        read_response(call, std::move(*http_response), reply);
    }
    co_return reply;
}

} // namespace snipespar::store
