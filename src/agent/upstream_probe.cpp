#include "agent/upstream_probe.h"

#include "base/json_reader.h"
#include "net/steady_time.h"
#include "telemetry/spawn_task.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace snipespar::agent {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;

constexpr auto probe_timeout = std::chrono::seconds(2);
// A process that ends still accepts connections until its listener is closed.
constexpr int max_attempts = 10;
constexpr auto retry_pause = std::chrono::milliseconds(25);
constexpr std::size_t max_response_bytes = std::size_t{4} << 20U;
constexpr int http_version = 11;

struct json_response {
    bool reached = true;
    std::optional<json> body;
};

asio::awaitable<json_response> get(net::http_client& client, const char* path)
{
    const net::http_client::request request{http::verb::get, path, http_version};
    const auto deadline = steady_now() + probe_timeout;
    auto response = co_await client.call(request, probe_timeout);
    // A broken connection is inconclusive; a new one shows whether the engine listens.
    asio::steady_timer pause(co_await asio::this_coro::executor);
    for (int attempt = 1; attempt < max_attempts && !response.ok() &&
                          !absl::IsUnavailable(response.status()) && steady_now() < deadline;
         ++attempt) {
        response = co_await client.call(request, deadline - steady_now());
        if (!response.ok() && !absl::IsUnavailable(response.status())) {
            pause.expires_after(retry_pause);
            co_await pause.async_wait(asio::use_awaitable);
        }
    }
    if (!response.ok()) {
        co_return json_response{!absl::IsUnavailable(response.status()), std::nullopt};
    }
    absl::Status malformed;
    json body = json_reader::parse(response->body(), malformed);
    if (response->result() != http::status::ok || !body.is_object()) {
        co_return json_response{};
    }
    co_return json_response{true, std::move(body)};
}

// Returns the adapters of a model list; names without a version are base models.
std::set<adapter_ref> listed_adapters(const json& models)
{
    std::set<adapter_ref> resident_adapters;
    const auto data = models.find("data");
    if (data == models.end() || !data->is_array()) {
        return resident_adapters;
    }
    for (const auto& model : *data) {
        const auto id = model.is_object() ? model.find("id") : model.end();
        if (!model.is_object() || id == model.end() || !id->is_string()) {
            continue;
        }
        const auto name = id->get<std::string>();
        if (const auto at = name.rfind('@'); at != std::string::npos) {
            resident_adapters.insert({adapter_id(name.substr(0, at)), name.substr(at + 1)});
        }
    }
    return resident_adapters;
}

asio::awaitable<probe_result> probe(net::http_client& client)
{
    probe_result result;
    const auto models = co_await get(client, "/v1/models");
    if (!models.reached) {
        result.engine_state = probe_result::state::down;
        co_return result;
    }
    const auto load = co_await get(client, "/load");
    if (!models.body || !load.body) {
        co_return result;
    }
    const auto incarnation = load.body->find("incarnation");
    if (incarnation != load.body->end() && incarnation->is_number_unsigned()) {
        result.incarnation = incarnation->get<std::uint64_t>();
    }
    const auto software = load.body->find("software");
    if (software != load.body->end() && software->is_string()) {
        result.software = software->get<std::string>();
    }
    result.resident_adapters = listed_adapters(*models.body);
    result.engine_state = probe_result::state::alive;
    co_return result;
}

} // namespace

upstream_probe::upstream_probe(asio::any_io_executor executor, const upstream_address& engine)
    : executor_(std::move(executor)),
      client_(std::make_shared<net::http_client>(engine.ip, engine.port, max_response_bytes))
{
}

void upstream_probe::read(done_function done) const
{
    telemetry::spawn_task(executor_, telemetry::logger(), "upstream_probe",
                          [client = client_, done = std::move(done)]() -> asio::awaitable<void> {
                              done(co_await probe(*client));
                          });
}

} // namespace snipespar::agent
