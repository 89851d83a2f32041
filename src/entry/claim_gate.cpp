#include "entry/claim_gate.h"

#include "base/json_reader.h"
#include "claims/claim_codec.h"
#include "entry/peer_links.h"
#include "net/steady_time.h"

#include <boost/asio/post.hpp>
#include <fmt/core.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace snipespar::entry {

namespace {

constexpr const char* topic = "claims";

claims::instant instant_now()
{
    const auto wall =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    return {steady_now(), wall};
}

std::string key_of(const claims::object_location& location)
{
    return location.slot ? fmt::format("claims/{}/{}", location.partition, *location.slot)
                         : fmt::format("claims/{}", location.partition);
}

claims::read_result read_result_of(claims::read_status status, std::uint64_t version,
                                   const std::string& value)
{
    claims::read_result result{status, version, std::nullopt};
    if (status == claims::read_status::found) {
        absl::Status malformed;
        const auto json = json_reader::parse(value, malformed);
        auto object = claims::decode_object(json);
        if (object.ok()) {
            result.value = *std::move(object);
        }
    }
    return result;
}

} // namespace

claim_gate::claim_gate(boost::asio::io_context& control, const incarnation& self,
                       const claims::claim_limits& limits, claim_store store, peer_links& peers)
    : timer_(control), service_(self, limits), store_(std::move(store)), peers_(peers)
{
    peers_.on_presence(
        [this](const incarnation& peer, bool present) { on_presence(peer, present); });
    peers_.on_message(topic, [this](const incarnation& from, const std::string& payload) {
        on_message(from, payload);
    });
}

void claim_gate::claim(const claims::digest& key, const claims::digest& fingerprint,
                       claim_done done)
{
    auto begun = service_.begin(key, fingerprint, instant_now());
    waiting_.emplace(begun.nonce, std::move(done));
    apply(begun.actions);
}

void claim_gate::finish(const claims::claim_nonce& nonce, run_state ran,
                        std::optional<claims::recorded_answer> answer)
{
    apply(service_.finish(nonce, ran, std::move(answer), instant_now()));
}

void claim_gate::apply(const claims::service_actions& actions)
{
    for (const auto& action : actions) {
        std::visit([this](const auto& value) { carry_out(value); }, action);
    }
    arm_timer();
}

void claim_gate::carry_out(const claims::read_object& action)
{
    const auto done = [this, partition = action.location.partition, operation = action.operation](
                          claims::read_status status, std::uint64_t version,
                          const std::string& value) {
        const auto result = read_result_of(status, version, value);
        apply(service_.on_read(partition, operation, result, instant_now()));
    };
    store_.read(key_of(action.location), done);
}

void claim_gate::carry_out(const claims::write_object& action)
{
    const auto done = [this, partition = action.location.partition,
                       operation = action.operation](const claims::write_result& result) {
        apply(service_.on_write(partition, operation, result, instant_now()));
    };
    store_.write(key_of(action.location), claims::encode(action.value).dump(),
                 action.expected_version, done);
}

void claim_gate::carry_out(const claims::send_claim_message& action)
{
    const auto peer = present_.find(action.to);
    if (peer == present_.end()) {
        return;
    }
    const auto bytes = nlohmann::json::to_cbor(claims::encode(action.message));
    peers_.send(peer->second, topic, std::string(bytes.begin(), bytes.end()));
}

void claim_gate::carry_out(const claims::claim_decided& action)
{
    auto waiting = waiting_.extract(action.nonce);
    if (!waiting.empty()) {
        waiting.mapped()(action.nonce, action.decision);
    }
}

void claim_gate::on_presence(const incarnation& peer, bool present)
{
    const auto known = present_.find(peer.host);
    if (present) {
        present_.insert_or_assign(peer.host, peer);
    }
    else if (known != present_.end() && known->second == peer) {
        present_.erase(known);
    }
    std::set<host_id> hosts;
    for (const auto& [host, process] : present_) {
        hosts.insert(host);
    }
    apply(service_.set_peers(hosts, instant_now()));
}

void claim_gate::on_message(const incarnation& from, const std::string& payload)
{
    const auto json = nlohmann::json::from_cbor(payload, true, false);
    const auto message = claims::decode_message(json);
    if (message.ok()) {
        apply(service_.on_message(from.host, *message, instant_now()));
    }
}

void claim_gate::arm_timer()
{
    const time_point next = service_.next_tick();
    if (next == time_point::max()) {
        timer_.cancel();
        return;
    }
    timer_.expires_at(std::chrono::steady_clock::time_point(next.time_since_epoch()));
    timer_.async_wait([this](const auto& error) {
        if (!error) {
            apply(service_.on_tick(instant_now()));
        }
    });
}

} // namespace snipespar::entry
