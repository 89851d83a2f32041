#include "gateway/service_rule.h"
#include "gateway/stream_version.h"
#include "gateway/upstream_selector.h"
#include "gateway/upstream_table.h"
#include "resume/origin_directory.h"

#include <algorithm>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace snipespar::resume {

namespace {

using gateway::placement_query;
using gateway::send_to;
using gateway::stream_version;
using gateway::upstream_selector;
using gateway::upstream_table;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds(500)};
constexpr auto step = milliseconds(10);
constexpr auto network_delay = milliseconds(2);
constexpr auto run_length = seconds(30);
// A restarted gateway lists the upstreams after the first of these times, knows the others after
// the second one.
constexpr auto listing_delay = milliseconds(300);
constexpr auto peer_delay = milliseconds(1000);
constexpr auto registry_lag = milliseconds(700);
constexpr auto standstill_time = milliseconds(700);
constexpr auto silence_of_a_lost_domain = seconds(6);
constexpr int tries = 3;
// What a gateway that is out of step misses: upstreams of another version join just after it falls
// behind, and all other gateways are killed before it reads the registry again.
constexpr auto joining_time = seconds(9);
constexpr auto stale_from = milliseconds(8900);
constexpr auto stale_to = milliseconds(13'000);
constexpr auto outage_detection = seconds(3);
// A take-up waits for the registry for at most the first of these times, which responds within the
// second one.
constexpr auto registry_wait = milliseconds(800);
constexpr auto registry_delay = milliseconds(20);

struct fleet_options {
    int gateways = 5;
    /// Software version of each upstream.
    std::vector<std::string> software = {"v1", "v1", "v1", "v1", "v1", "v2", "v2", "v2", "v2"};
    int streams_per_s = 150;
    double loss = 0;
    /// All gateways are killed at these times.
    std::vector<duration> kills = {seconds(10), seconds(20)};
    /// One gateway after the other restarts, at this interval.
    std::optional<duration> restart_interval = std::nullopt;
    /// With the gateways, all sidecars of one failure domain are lost for a while.
    bool is_domain_lost = false;
    /// With the gateways, all sidecars are killed.
    bool are_sidecars_killed = false;
    /// All sidecars are killed at this time.
    std::optional<duration> sidecar_kill = std::nullopt;
    duration stream_length = seconds(2);
    /// All upstreams of v1 leave from 9 s on, with their hosts; as many of v2 come.
    bool is_released = false;
    /// One upstream after the other crashes and comes back at another version.
    bool are_upstreams_changed = false;
    /// So many upstreams of v2 join while gateway 0 is out of step.
    int joining = 0;
    /// Gateway 0 is cut off from everything but callers meanwhile.
    bool is_one_cut = false;
    /// Gateway 0 stands still meanwhile.
    bool is_one_frozen = false;
    /// Share of take-ups that name a stream that never was.
    double invented = 0;
    /// Share of the take-ups that must go on while two upstreams of their version serve. The users
    /// ask for half of the share of new streams that begin, which is 1 here.
    double smallest_share = 0.9;
    std::uint64_t seed = 1;
};

/// Gateways and sidecars with their real decisions on streams that go on, before upstreams of
/// several software versions.
class resume_fleet {
public:
    explicit resume_fleet(fleet_options options)
        : options_(std::move(options)), random_(options_.seed)
    {
        for (std::size_t i = 0; i < options_.software.size(); ++i) {
            upstreams_.push_back(
                {fmt::format("i-{}", i), options_.software[i], static_cast<int>(i), true});
            sidecars_[sidecar(static_cast<int>(i))] = {};
        }
        for (int i = 0; i < options_.gateways; ++i) {
            members_.push_back(std::make_unique<member>(i, start - seconds(100)));
        }
        for (auto& item : members_) {
            list_upstreams(*item, start - seconds(99));
            item->is_listed = true;
        }
    }

    // Returns what breaks a rule; empty if nothing does.
    std::string run()
    {
        for (now_ = start; now_ < start + run_length; now_ += step) {
            disturb();
            deliver();
            for (auto& item : members_) {
                tick(*item);
            }
            take_up_broken();
            begin_streams();
            std::erase_if(streams_, [&](const auto& item) { return now_ >= item->ends; });
        }
        return verdict();
    }

private:
    struct upstream {
        std::string id;
        std::string software;
        int address = 0;
        bool serves = false;
        std::uint64_t process_start_ms = 1;
    };
    struct member {
        member(int address, time_point began)
            : number(address), started(began),
              selector(failure_domain_id("a"), static_cast<std::uint64_t>(address))
        {
        }

        int number;
        time_point started;
        bool is_listed = false;
        bool knows_peers = false;
        upstream_table table;
        upstream_selector selector;
        origin_directory origins;
        std::uint64_t lookups = 0;
        /// Of its last listing.
        int registry_version = 0;
        bool is_outage_known = false;
        time_point ticked;
        /// When the response to a read for a take-up arrives.
        std::optional<time_point> read_due;
    };
    struct stream {
        std::string id;
        std::string attempt;
        time_point began;
        time_point ends;
        stream_version version;
        /// Versions that the caller has events of.
        std::string began_at;
        int gateway = 0;
        std::string upstream;
        bool is_broken = false;
        int tries_left = tries;
        /// Its take-up counts: two upstreams of its version serve.
        bool is_counted = false;
        time_point returns;
        std::uint64_t lookup = 0;
        time_point taken_up;
        /// Set while the take-up waits for the registry.
        std::optional<time_point> registry_wait_ends;
    };
    struct datagram {
        time_point due;
        cli::endpoint from;
        cli::endpoint to;
        control::message content;
    };
    struct held_sidecar {
        origin_store store;
        time_point silent_until;
    };

    static constexpr std::string_view gateway_network = "10.0.0.";

    static cli::endpoint address(int number)
    {
        return {fmt::format("{}{}", gateway_network, number), 76};
    }
    static cli::endpoint sidecar(int number) { return {fmt::format("10.1.0.{}", number), 76}; }
    static failure_domain_id domain(int number)
    {
        return failure_domain_id(std::string(1, static_cast<char>('a' + number % 3)));
    }

    void list_upstreams(member& item, time_point now)
    {
        item.table.replace(know_upstreams(item), now);
    }

    // Takes over what has changed since the last listing.
    void follow_upstreams(member& item)
    {
        std::set<upstream_id> served;
        for (const auto& entry : know_upstreams(item)) {
            served.insert(entry.id);
            item.table.update(entry, now_);
        }
        for (const auto& [id, state] : item.table.all()) {
            if (!served.contains(id)) {
                item.table.remove(id, now_);
            }
        }
    }

    // The present entries, whose sidecars can hold origins.
    std::vector<gateway::upstream_entry> know_upstreams(member& item) const
    {
        std::vector<gateway::upstream_entry> entries;
        std::vector<origin_holder> holders;
        for (const auto& server : upstreams_) {
            if (server.serves) {
                entries.push_back({upstream_id(server.id),
                                   "llm",
                                   {sidecar(server.address).ip, 80},
                                   domain(server.address),
                                   64,
                                   false,
                                   server.process_start_ms,
                                   server.software});
                holders.push_back(
                    {sidecar(server.address), domain(server.address), upstream_id(server.id)});
            }
        }
        item.registry_version = registry_version_;
        item.origins.holders().set_sidecars(holders);
        return entries;
    }

    void meet_peers(member& item)
    {
        std::vector<cli::endpoint> peers;
        for (const auto& other : members_) {
            if (other->number != item.number) {
                peers.push_back(address(other->number));
            }
        }
        item.origins.holders().set_gateways(peers);
        item.knows_peers = true;
    }

    bool is_stale_time() const { return now_ >= start + stale_from && now_ < start + stale_to; }
    bool is_cut(int number) const { return options_.is_one_cut && number == 0 && is_stale_time(); }
    bool is_frozen(int number) const
    {
        return options_.is_one_frozen && number == 0 && is_stale_time();
    }
    bool is_cut(const cli::endpoint& member) const
    {
        return member == address(0) && (is_cut(0) || is_frozen(0));
    }

    void disturb()
    {
        if (now_ == start + joining_time) {
            for (int i = 0; i < options_.joining; ++i) {
                const int number = static_cast<int>(upstreams_.size());
                upstreams_.push_back({fmt::format("i-{}", number), "v2", number, true});
                sidecars_[sidecar(number)] = {};
                ++registry_version_;
            }
        }
        for (const auto at : options_.kills) {
            if (now_ == start + at) {
                kill_all();
            }
        }
        if (options_.sidecar_kill && now_ == start + *options_.sidecar_kill) {
            for (auto& [where, item] : sidecars_) {
                item = {};
            }
        }
        if (options_.restart_interval &&
            (now_ - start) % *options_.restart_interval == duration{}) {
            kill(next_restart_++ % members_.size());
        }
        if (options_.is_released && now_ >= start + seconds(9) && now_ < start + seconds(11) &&
            (now_ - start) % milliseconds(200) == duration{}) {
            replace_one("v1", "v2");
        }
        if (options_.are_upstreams_changed && (now_ - start) % seconds(3) == duration{}) {
            change_one();
        }
    }

    void kill_all()
    {
        const bool is_one_stale = options_.is_one_cut || options_.is_one_frozen;
        for (std::size_t i = is_one_stale ? 1 : 0; i < members_.size(); ++i) {
            kill(i);
        }
        for (auto& [where, item] : sidecars_) {
            if (options_.are_sidecars_killed) {
                item = {};
            }
            else if (options_.is_domain_lost &&
                     domain(std::stoi(where.ip.substr(7))) == failure_domain_id("b")) {
                item = {{}, now_ + silence_of_a_lost_domain};
            }
        }
    }

    void kill(std::size_t number)
    {
        members_[number] = std::make_unique<member>(static_cast<int>(number), now_);
        for (auto& item : streams_) {
            if (item->gateway == static_cast<int>(number) && !item->is_broken) {
                break_off(*item);
            }
        }
    }

    void break_off(stream& item)
    {
        item.is_broken = true;
        item.lookup = 0;
        item.registry_wait_ends.reset();
        item.returns = now_ + milliseconds(50 + random_() % 700);
    }

    // The new server starts first; the old one leaves with its host.
    void replace_one(const std::string& old_version, const std::string& new_version)
    {
        for (std::size_t i = 0; i < upstreams_.size(); ++i) {
            if (upstreams_[i].serves && upstreams_[i].software == old_version) {
                upstreams_[i].serves = false;
                sidecars_.erase(sidecar(upstreams_[i].address));
                const int number = static_cast<int>(upstreams_.size());
                upstreams_.push_back({fmt::format("i-{}", number), new_version, number, true});
                sidecars_[sidecar(number)] = {};
                ++registry_version_;
                return;
            }
        }
    }

    // A server crashes and is back under its name, at the version of another one.
    void change_one()
    {
        auto& crashed = upstreams_[random_() % upstreams_.size()];
        crashed.software = upstreams_[random_() % upstreams_.size()].software;
        ++crashed.process_start_ms;
        ++registry_version_;
        for (auto& item : streams_) {
            if (item->upstream == crashed.id && !item->is_broken) {
                move(*item, upstream_id(crashed.id));
            }
        }
    }

    // The gateway moves the stream to another upstream, as it knows them.
    void move(stream& item, const upstream_id& failed)
    {
        auto& at = *members_[static_cast<std::size_t>(item.gateway)];
        if (!send(item, at, {failed})) {
            item.is_broken = true;
            item.tries_left = 0;
        }
    }

    bool send(stream& item, member& at, std::set<upstream_id> excluded)
    {
        placement_query query{"llm", "", "", 0, std::move(excluded)};
        query.software = item.version.required();
        const auto chosen =
            at.selector.choose(query, service_, at.table, options_.gateways, now_).destination;
        const auto* target = std::get_if<send_to>(&chosen);
        if (target == nullptr) {
            return false;
        }
        const auto* state = at.table.find(target->upstream);
        const auto* server = find(target->upstream.str());
        if (!server->serves) {
            return false;
        }
        item.version.on_sent(upstream_table::software_of(*state));
        // The entry of a process that has just been replaced is noticed by its sidecar's report.
        const auto current =
            server->process_start_ms == state->entry.process_start_ms ? server->software : "";
        if (item.version.on_first_events(current) == stream_version::verdict::differs) {
            return false;
        }
        item.upstream = target->upstream.str();
        item.gateway = at.number;
        item.is_broken = false;
        if (item.began_at.empty()) {
            item.began_at = server->software;
            record(item, at);
        }
        else if (item.began_at != server->software) {
            ++joined_;
        }
        return true;
    }

    const upstream* find(const std::string& id) const
    {
        return &*std::ranges::find(upstreams_, id, &upstream::id);
    }

    void record(const stream& item, member& at)
    {
        if (!item.version.is_known()) {
            return;
        }
        const auto is_usable = [&](const origin_holder& holder) {
            const auto* state = at.table.find(holder.upstream);
            return state != nullptr && upstream_table::is_serving(*state, now_);
        };
        post(at, at.origins.on_began(make_stream_key(team_, item.attempt),
                                     {"llm", item.version.required()}, is_usable, now_));
    }

    void begin_streams()
    {
        const auto mean = options_.streams_per_s * std::chrono::duration<double>(step).count();
        for (int i = std::poisson_distribution<int>(mean)(random_); i > 0; --i) {
            auto& at = *members_[random_() % members_.size()];
            if (!at.is_listed || is_frozen(at.number)) {
                continue;
            }
            auto item = std::make_unique<stream>();
            item->id = fmt::format("s{}", ++begun_);
            item->attempt = item->id;
            item->began = now_;
            item->ends = now_ + options_.stream_length;
            if (send(*item, at, {})) {
                streams_.push_back(std::move(item));
            }
        }
    }

    void take_up_broken()
    {
        for (auto& item : streams_) {
            const auto age = now_ - item->began;
            const bool is_recorded_again =
                age > duration{} && age % origin_directory::record_interval == duration{};
            if (!item->is_broken && is_recorded_again) {
                record(*item, *members_[static_cast<std::size_t>(item->gateway)]);
            }
            if (item->registry_wait_ends) {
                wait_for_registry(*item);
                continue;
            }
            if (!item->is_broken || item->lookup != 0 || now_ < item->returns ||
                item->tries_left == 0) {
                continue;
            }
            auto& at = *members_[random_() % members_.size()];
            if (!at.is_listed || is_frozen(at.number)) {
                item->returns = now_ + milliseconds(200);
                continue;
            }
            --item->tries_left;
            const bool is_invented = std::bernoulli_distribution(options_.invented)(random_);
            if (item->tries_left == tries - 1) {
                item->is_counted = !is_invented && counts(*item);
                take_ups_ += item->is_counted ? 1 : 0;
            }
            item->gateway = at.number;
            item->lookup = ++at.lookups;
            item->taken_up = now_;
            item->version = {};
            post(at, at.origins.look_up(
                         item->lookup,
                         make_stream_key(team_, is_invented ? "invented" : item->attempt), now_));
        }
    }

    // Whether two upstreams of the stream's version serve.
    bool counts(const stream& item) const
    {
        return std::ranges::count_if(upstreams_, [&](const auto& server) {
                   return server.serves && server.software == item.began_at;
               }) >= 2;
    }

    void on_origin(member& at, const origin_result& result)
    {
        for (auto& item : streams_) {
            if (item->gateway != at.number || item->lookup != result.number || !item->is_broken) {
                continue;
            }
            item->lookup = 0;
            item->returns = now_ + milliseconds(300);
            const auto sole = at.table.sole_version("llm", now_);
            if (!result.origin && sole && !at.table.is_registry_read_since(item->taken_up)) {
                item->registry_wait_ends = now_ + registry_wait;
                at.read_due = at.read_due.value_or(now_ + registry_delay);
                return;
            }
            take_up(*item, at, result.origin ? result.origin->software : sole.value_or(""));
            return;
        }
    }

    void take_up(stream& item, member& at, const std::string& software)
    {
        if (software.empty()) {
            return;
        }
        item.version.bind(software);
        if (send(item, at, {})) {
            resumed_ += item.is_counted ? 1 : 0;
            item.tries_left = tries;
        }
    }

    void wait_for_registry(stream& item)
    {
        auto& at = *members_[static_cast<std::size_t>(item.gateway)];
        const bool is_read = at.table.is_registry_read_since(item.taken_up);
        if (is_read || now_ >= *item.registry_wait_ends) {
            item.registry_wait_ends.reset();
            take_up(item, at, is_read ? at.table.sole_version("llm", now_).value_or("") : "");
        }
    }

    // Polls the changes of the upstreams.
    void read_registry(member& item)
    {
        if (item.registry_version != registry_version_) {
            follow_upstreams(item);
        }
        item.table.on_registry_read(now_);
        if (std::exchange(item.is_outage_known, false)) {
            item.table.on_registry_recovered(now_);
        }
    }

    void tick(member& item)
    {
        if (is_frozen(item.number)) {
            return;
        }
        if (!item.is_listed && now_ - item.started >= listing_delay) {
            item.is_listed = true;
            list_upstreams(item, now_);
        }
        if (!item.knows_peers && now_ - item.started >= peer_delay) {
            meet_peers(item);
        }
        if (item.ticked != time_point{} && now_ - item.ticked > standstill_time) {
            item.table.on_standstill(now_);
        }
        item.ticked = now_;
        const bool cut = is_cut(item.number);
        if (item.read_due && now_ >= *item.read_due) {
            item.read_due.reset();
            if (!cut) {
                read_registry(item);
            }
        }
        if (cut && !item.is_outage_known && now_ >= start + stale_from + outage_detection) {
            item.is_outage_known = true;
            item.table.on_registry_lost();
        }
        if (item.is_listed && (now_ - item.started) % registry_lag == duration{}) {
            if (!cut) {
                read_registry(item);
            }
            item.table.on_tick(now_);
        }
        post(item, item.origins.on_tick(now_));
    }

    void post(member& at, const origin_actions& actions)
    {
        for (const auto& message : actions.messages) {
            post({now_ + network_delay, address(at.number), message.to, message.content});
        }
        for (const auto& result : actions.results) {
            on_origin(at, result);
        }
    }

    void post(datagram item)
    {
        ++messages_;
        const bool is_lost = is_cut(item.from) || is_cut(item.to);
        if (!is_lost && !std::bernoulli_distribution(options_.loss)(random_)) {
            datagrams_.push_back(std::move(item));
        }
    }

    void deliver()
    {
        std::vector<datagram> due;
        std::erase_if(datagrams_, [&](const auto& item) {
            if (now_ >= item.due) {
                due.push_back(item);
            }
            return now_ >= item.due;
        });
        for (const auto& item : due) {
            const auto side = sidecars_.find(item.to);
            if (side != sidecars_.end()) {
                deliver_to(side->second, item);
            }
            else if (item.to.ip.starts_with(gateway_network)) {
                const auto number = std::stoul(item.to.ip.substr(gateway_network.size()));
                deliver_to(*members_[number], item);
            }
        }
    }

    void deliver_to(held_sidecar& side, const datagram& item)
    {
        if (now_ < side.silent_until) {
            return;
        }
        if (const auto* record = std::get_if<control::origin_record>(&item.content)) {
            side.store.put(record->key, record->origin, now_);
        }
        else if (const auto* question = std::get_if<control::origin_question>(&item.content)) {
            post({now_ + network_delay, item.to, item.from,
                  control::origin_answer{question->number, question->key,
                                         side.store.find(question->key, now_)}});
        }
    }

    void deliver_to(member& gateway, const datagram& item)
    {
        if (const auto* record = std::get_if<control::origin_record>(&item.content)) {
            gateway.origins.on_record(*record, now_);
        }
        else if (const auto* question = std::get_if<control::origin_question>(&item.content)) {
            post({now_ + network_delay, item.to, item.from,
                  gateway.origins.on_question(*question, now_)});
        }
        else if (const auto* answer = std::get_if<control::origin_answer>(&item.content)) {
            post(gateway, gateway.origins.on_answer(*answer, item.from, now_));
        }
    }

    std::string verdict() const
    {
        const double share = take_ups_ == 0 ? 1 : static_cast<double>(resumed_) / take_ups_;
        if (joined_ > 0 || share < options_.smallest_share) {
            return fmt::format("seed {}: {} streams joined, {} of {} take-ups went on\n",
                               options_.seed, joined_, resumed_, take_ups_);
        }
        if (take_ups_ == 0 && !options_.are_upstreams_changed) {
            return "no take-ups\n";
        }
        const double messages_per_stream = static_cast<double>(messages_) / begun_;
        constexpr double most_messages_once = 8;
        constexpr double most_messages_again = 3;
        const auto repetitions = options_.stream_length / origin_directory::record_interval;
        const double most_messages =
            most_messages_once + most_messages_again * static_cast<double>(repetitions);
        return messages_per_stream > most_messages
                   ? fmt::format("{} messages for each stream\n", messages_per_stream)
                   : "";
    }

    fleet_options options_;
    std::mt19937_64 random_;
    time_point now_;
    gateway::service_rule service_{"llm", 300, std::nullopt};
    team_id team_{"shops"};
    std::vector<upstream> upstreams_;
    std::map<cli::endpoint, held_sidecar> sidecars_;
    std::vector<std::unique_ptr<member>> members_;
    std::vector<std::unique_ptr<stream>> streams_;
    std::vector<datagram> datagrams_;
    /// Incremented with each change of the upstreams.
    int registry_version_ = 0;
    std::size_t next_restart_ = 0;
    int begun_ = 0;
    int joined_ = 0;
    int take_ups_ = 0;
    int resumed_ = 0;
    std::uint64_t messages_ = 0;
};

std::string check(fleet_options options, std::uint64_t seeds = 3)
{
    std::string broken;
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        broken += resume_fleet(options).run();
    }
    return broken;
}

std::vector<std::string> mixed(int upstreams, int versions)
{
    std::vector<std::string> software;
    software.reserve(static_cast<std::size_t>(upstreams));
    for (int i = 0; i < upstreams; ++i) {
        software.push_back(fmt::format("v{}", i % versions));
    }
    return software;
}

} // namespace

/// Streams go on only at the software version that began them, and go on as a rule, whichever
/// gateways are left.
class resume_fleet_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(resume_fleet_test);
    CPPUNIT_TEST(all_gateways_are_killed_at_once);
    CPPUNIT_TEST(messages_are_lost);
    CPPUNIT_TEST(failure_domain_is_lost_with_the_gateways);
    CPPUNIT_TEST(sidecars_are_killed_before_the_gateways);
    CPPUNIT_TEST(nobody_is_left_who_knows);
    CPPUNIT_TEST(old_version_leaves_before_the_kill);
    CPPUNIT_TEST(gateways_restart_one_by_one);
    CPPUNIT_TEST(upstreams_come_back_at_another_version);
    CPPUNIT_TEST(invented_names_take_up_nothing);
    CPPUNIT_TEST(gateway_cut_off_as_a_version_joins_guesses_nothing);
    CPPUNIT_TEST(gateway_frozen_as_a_version_joins_guesses_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void all_gateways_are_killed_at_once()
    {
        for (const int gateways : sizes) {
            for (const int versions : {2, 3}) {
                CPPUNIT_ASSERT_EQUAL(std::string(),
                                     check({.gateways = gateways,
                                            .software = mixed(2 * gateways, versions),
                                            .streams_per_s = 10 * gateways},
                                           2));
            }
        }
    }

    void messages_are_lost()
    {
        for (const int gateways : sizes) {
            CPPUNIT_ASSERT_EQUAL(
                std::string(),
                check({.gateways = gateways, .software = mixed(2 * gateways, 3), .loss = 0.05}, 2));
        }
    }

    void failure_domain_is_lost_with_the_gateways()
    {
        for (const int gateways : sizes) {
            CPPUNIT_ASSERT_EQUAL(std::string(), check({.gateways = gateways,
                                                       .software = mixed(2 * gateways, 2),
                                                       .loss = 0.05,
                                                       .is_domain_lost = true,
                                                       .smallest_share = 0.85},
                                                      2));
        }
    }

    // Guards against long streams that are forgotten as their holders restart one kind after the
    // other.
    void sidecars_are_killed_before_the_gateways()
    {
        for (const int gateways : sizes) {
            CPPUNIT_ASSERT_EQUAL(std::string(), check({.gateways = gateways,
                                                       .software = mixed(2 * gateways, 2),
                                                       .kills = {seconds(18)},
                                                       .sidecar_kill = seconds(12),
                                                       .stream_length = seconds(15)},
                                                      1));
        }
    }

    // Guards against a guess when every process has lost its memory.
    void nobody_is_left_who_knows()
    {
        for (const int gateways : sizes) {
            CPPUNIT_ASSERT_EQUAL(std::string(), check({.gateways = gateways,
                                                       .software = mixed(2 * gateways, 2),
                                                       .kills = {seconds(10)},
                                                       .are_sidecars_killed = true,
                                                       .smallest_share = 0},
                                                      2));
        }
    }

    // Guards against the version that is left being taken for the one that began all streams.
    void old_version_leaves_before_the_kill()
    {
        for (const int gateways : sizes) {
            CPPUNIT_ASSERT_EQUAL(std::string(), check({.gateways = gateways,
                                                       .loss = 0.05,
                                                       .kills = {seconds(11)},
                                                       .is_released = true},
                                                      2));
        }
    }

    void gateways_restart_one_by_one()
    {
        for (const int gateways : sizes) {
            CPPUNIT_ASSERT_EQUAL(std::string(), check({.gateways = gateways,
                                                       .software = mixed(2 * gateways, 2),
                                                       .loss = 0.05,
                                                       .kills = {},
                                                       .restart_interval = milliseconds(1500)},
                                                      2));
        }
    }

    // Guards against a server that is taken for its predecessor of the same name.
    void upstreams_come_back_at_another_version()
    {
        for (const int gateways : sizes) {
            CPPUNIT_ASSERT_EQUAL(std::string(), check({.gateways = gateways,
                                                       .software = mixed(2 * gateways, 3),
                                                       .loss = 0.05,
                                                       .are_upstreams_changed = true,
                                                       .smallest_share = 0.5},
                                                      2));
        }
    }

    void invented_names_take_up_nothing()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), check({.invented = 0.5, .smallest_share = 0.5}));
    }

    // Guards against the only version that a gateway has heard of being taken for the only one.
    void gateway_cut_off_as_a_version_joins_guesses_nothing()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), check({.software = mixed(6, 1),
                                                   .kills = {seconds(11)},
                                                   .joining = 6,
                                                   .is_one_cut = true,
                                                   .smallest_share = 0.5}));
    }

    // Guards against a view from before a standstill being taken for the present one.
    void gateway_frozen_as_a_version_joins_guesses_nothing()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), check({.software = mixed(6, 1),
                                                   .kills = {milliseconds(12'700)},
                                                   .joining = 6,
                                                   .is_one_frozen = true,
                                                   .smallest_share = 0.5}));
    }

private:
    static inline const std::vector<int> sizes{5, 26, 68};
};

CPPUNIT_TEST_SUITE_REGISTRATION(resume_fleet_test);

} // namespace snipespar::resume
