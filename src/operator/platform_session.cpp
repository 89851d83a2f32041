#include "operator/platform_session.h"

#include "base/digest.h"
#include "config/layout.h"
#include "config/root.h"
#include "store/http_object_store.h"
#include "store/retrying_store.h"
#include "telemetry/spawn_task.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

namespace snipespar::operators {

namespace asio = boost::asio;

namespace {

constexpr std::size_t nonce_bytes = 16;
constexpr unsigned max_load_attempts = 5;

asio::awaitable<void> sleep(duration wait)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, wait);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

using store_stack =
    store::retrying_store<store::http_object_store, asio::awaitable<void> (*)(duration)>;

asio::awaitable<void> perform_one(store_stack& store, store::request call,
                                  store::object_reply& reply)
{
    reply = co_await store.perform(std::move(call));
}

// Reads the accepted version; Aborted when a newer one was accepted meanwhile.
absl::StatusOr<config::snapshot> load_once(const platform_session& session,
                                           const std::string& environment)
{
    const auto reply = session.perform(store::get_object{config::root_key(environment)});
    if (!reply.status.ok()) {
        return reply.status;
    }
    const auto root = config::decode_root(reply.objects.front().value);
    if (!root.ok()) {
        return root.status();
    }
    config::part_map parts;
    for (const auto& ref : root->parts) {
        auto part = session.perform(store::get_object{config::part_key(environment, ref.sha256)});
        if (absl::IsNotFound(part.status)) {
            return absl::AbortedError("a newer version was accepted while this one was read");
        }
        if (!part.status.ok()) {
            return part.status;
        }
        parts[ref.sha256] = std::move(part.objects.front().value);
    }
    return config::assemble(*root, parts);
}

} // namespace

platform_session::platform_session(const cli::platform_access& access) : access_(access) {}

store::object_reply platform_session::perform(const store::request& call) const
{
    asio::io_context context(1);
    store::http_object_store http(access_.platform.ip, access_.platform.port, access_.timeout);
    store::retry_settings settings;
    settings.max_total_delay = access_.timeout;
    settings.seed = std::random_device{}();
    store_stack store(http, &sleep, settings);
    store::object_reply reply;
    reply.status = absl::InternalError("the call ended without a result");
    telemetry::spawn_task(context, telemetry::logger(), "store_call",
                          perform_one(store, call, reply));
    context.run();
    return reply;
}

config::publish_result platform_session::publish(const std::string& environment,
                                                 config::publisher::change_function change) const
{
    config::publisher writer(environment, to_hex(random_bytes(nonce_bytes)), std::move(change));
    while (writer.next()) {
        writer.on_reply(perform(*writer.next()));
    }
    return writer.result();
}

absl::StatusOr<config::snapshot> platform_session::load(const std::string& environment) const
{
    auto result = load_once(*this, environment);
    for (unsigned attempts = 1; absl::IsAborted(result.status()) && attempts < max_load_attempts;
         ++attempts) {
        result = load_once(*this, environment);
    }
    return result;
}

} // namespace snipespar::operators
