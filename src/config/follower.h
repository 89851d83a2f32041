#pragma once

#include "config/follower_action.h"
#include "config/follower_settings.h"
#include "config/freshness.h"
#include "config/layout.h"
#include "config/root.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace snipespar::config {

struct snapshot;

/// Brings each accepted version into force in one process: learns of it from the platform and from
/// peers, fetches its parts from either, checks them by their hashes and adopts it whole. Only a
/// version higher than the one in force is ever adopted, so whatever arrives late, twice or from a
/// process that is behind changes nothing.
class follower {
public:
    explicit follower(follower_settings settings);

    /// The processes that call the platform; see `freshness`.
    void set_members(std::vector<member> members) { freshness_.set_members(std::move(members)); }

    /// Repeats what is due. To be called a few times a second.
    follower_actions on_tick(time_point now);

    /// Outcome of `watch_root` sent at `sent`: the object, or none when it did not change.
    follower_actions on_watched(const std::optional<store::object>& changed, time_point sent,
                                time_point now);

    /// `watch_root` failed, or was not answered in time.
    void on_watch_failed(time_point now);

    follower_actions on_peer_up(const host_id& peer, time_point now);
    void on_peer_down(const host_id& peer);

    /// A peer's answer to `query_peer`, sent at `sent`.
    follower_actions on_report(const host_id& peer, const freshness_report& report, time_point sent,
                               time_point now);

    /// A root as a peer holds it.
    follower_actions on_root(const host_id& peer, const std::string& text, time_point now);

    /// A part, from the platform or a peer.
    follower_actions on_part(const std::string& sha256, const std::string& bytes, time_point now);

    /// Whether new requests may be admitted under the version in force.
    bool may_admit(time_point now) const { return freshness_.may_admit(now); }
    time_point admits_until() const { return freshness_.admits_until(); }

    /// Whether the latest call to the platform was answered.
    bool platform_answers() const { return platform_answers_; }

    /// The version in force; null before the first.
    const std::shared_ptr<const snapshot>& active_config() const { return active_config_; }
    std::uint64_t version() const { return root_.version; }

    /// What this process tells peers that ask.
    freshness_report report(time_point now) const { return freshness_.report(now); }

    /// The root of the version in force, for peers; empty before the first.
    const std::string& root_text() const { return root_text_; }

    /// The part with this hash, for peers, or null.
    const std::string* part(const std::string& sha256) const;

    /// Roots and parts that were refused because they were damaged.
    std::uint64_t damaged() const { return damaged_; }

private:
    struct known_peer {
        std::uint64_t version = 0;
        time_point next_query;
    };

    void consider(const std::string& text, const host_id& source, follower_actions& out,
                  time_point now);
    void fetch_missing(const host_id& source, follower_actions& out, time_point now);
    void try_adopt(follower_actions& out);
    host_id next_source();
    duration jittered(duration longest);

    follower_settings settings_;
    freshness freshness_;
    std::mt19937_64 random_;
    root root_;
    std::string root_text_;
    std::shared_ptr<const snapshot> active_config_;
    part_map parts_;

    std::optional<root> target_;
    std::string target_text_;
    time_point fetch_again_;
    std::size_t source_turn_ = 0;

    std::map<host_id, known_peer> peers_;
    store::revision seen_revision_ = 0;
    std::uint64_t platform_version_ = 0;
    bool watching_ = false;
    bool platform_answers_ = false;
    time_point next_watch_;
    std::uint64_t damaged_ = 0;
};

} // namespace snipespar::config
