#include "entry/platform_records.h"

#include "base/json_reader.h"
#include "cli/entry_settings.h"
#include "limits/limits_codec.h"
#include "telemetry/spawn_task.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace snipespar::entry {

namespace {

namespace asio = boost::asio;

constexpr duration call_timeout = std::chrono::seconds(2);
constexpr auto list_interval = std::chrono::seconds(1);
constexpr const char* entry_role = "entry";

std::optional<limits::versioned_table> table_of(const store::object_reply& reply)
{
    if (absl::IsNotFound(reply.status)) {
        return limits::versioned_table{};
    }
    if (!reply.status.ok() || reply.objects.empty()) {
        return std::nullopt;
    }
    absl::Status malformed;
    const auto value = json_reader::parse(reply.objects.front().value, malformed);
    const auto table = limits::decode_table(value);
    if (!table.ok()) {
        return std::nullopt;
    }
    return limits::versioned_table{reply.objects.front().revision, *table};
}

limits::write_outcome outcome_of(const absl::Status& status)
{
    if (status.ok()) {
        return limits::write_outcome::written;
    }
    return absl::IsAborted(status) ? limits::write_outcome::conflict
                                   : limits::write_outcome::unknown;
}

claims::write_result claim_result_of(const store::object_reply& reply)
{
    if (reply.status.ok() && !reply.objects.empty()) {
        return {claims::write_status::written, reply.objects.front().revision};
    }
    if (absl::IsAborted(reply.status)) {
        return {claims::write_status::conflict, 0};
    }
    return {claims::write_status::unknown, 0};
}

} // namespace

platform_records::platform_records(asio::io_context& control, const cli::entry_settings& settings,
                                   linked_entries linked, leaving_handler leaving)
    : control_(control), timer_(control),
      store_(settings.platform->ip, settings.platform->port, call_timeout),
      environment_(settings.environment), self_(settings.host),
      own_domain_(settings.failure_domain), linked_(std::move(linked)), leaving_(std::move(leaving))
{
}

void platform_records::start()
{
    list_hosts();
}

void platform_records::stop()
{
    stopped_ = true;
    timer_.cancel();
}

limit_store platform_records::limits()
{
    limit_store result;
    result.read = [this](const limits::read_table& read, auto reply) {
        perform(store::get_object{table_key(read.group)},
                [reply = std::move(reply)](const store::object_reply& response) {
                    reply(table_of(response));
                });
    };
    result.write = [this](const limits::write_table& write, auto reply) {
        perform(store::put_object{table_key(write.group), encode(write.table).dump(),
                                  write.expected_version},
                [reply = std::move(reply)](const store::object_reply& response) {
                    reply(outcome_of(response.status));
                });
    };
    result.members = [this] { return std::exchange(listed_, std::nullopt); };
    return result;
}

claim_store platform_records::claims()
{
    claim_store result;
    result.read = [this](const std::string& key, auto done) {
        perform(store::get_object{environment_ + "/" + key},
                [done = std::move(done)](const store::object_reply& response) {
                    if (response.status.ok() && !response.objects.empty()) {
                        const auto& found = response.objects.front();
                        done(claims::read_status::found, found.revision, found.value);
                        return;
                    }
                    const bool absent = absl::IsNotFound(response.status);
                    done(absent ? claims::read_status::absent : claims::read_status::unavailable, 0,
                         "");
                });
    };
    result.write = [this](const std::string& key, std::string value, std::uint64_t expected,
                          auto done) {
        perform(store::put_object{environment_ + "/" + key, std::move(value), expected},
                [done = std::move(done)](const store::object_reply& response) {
                    done(claim_result_of(response));
                });
    };
    return result;
}

void platform_records::perform(store::request call, reply_handler reply)
{
    telemetry::spawn_task(control_, telemetry::logger(), "store_call",
                          [this, call = std::move(call),
                           reply = std::move(reply)]() mutable -> asio::awaitable<void> {
                              auto response = co_await store_.perform(std::move(call));
                              if (!stopped_) {
                                  reply(std::move(response));
                              }
                          });
}

void platform_records::list_hosts()
{
    perform(store::list_hosts{}, [this](const store::object_reply& response) {
        const bool started_in_outage = !ever_listed_ && !linked_().empty();
        if (response.status.ok() || started_in_outage) {
            listed_ = members_of(response.hosts);
            ever_listed_ = true;
        }
        if (response.status.ok()) {
            std::vector<host_id> leaving;
            for (const auto& host : response.hosts) {
                if (host.leaving) {
                    leaving.push_back(host.host);
                }
            }
            leaving_(leaving);
        }
        timer_.expires_after(list_interval);
        timer_.async_wait([this](const auto& error) {
            if (!error) {
                list_hosts();
            }
        });
    });
}

std::string platform_records::table_key(std::uint32_t group) const
{
    return "limits/" + environment_ + "/" + std::to_string(group);
}

// The listed entries, plus those running but not listed yet: this one and the linked ones.
std::vector<limits::member>
platform_records::members_of(const std::vector<store::host_record>& hosts) const
{
    std::vector<limits::member> members;
    for (const auto& host : hosts) {
        if (host.role == entry_role) {
            members.push_back({{host.host, 0}, host.failure_domain, host.leaving});
        }
    }
    const auto add_unlisted = [&](const incarnation& process, const failure_domain_id& domain) {
        const bool listed = std::ranges::any_of(
            members, [&](const auto& member) { return member.id.host == process.host; });
        if (!listed) {
            members.push_back({process, domain, false});
        }
    };
    add_unlisted({self_, 0}, own_domain_);
    for (const auto& process : linked_()) {
        add_unlisted(process, failure_domain_id());
    }
    return members;
}

} // namespace snipespar::entry
