#include "config/follower.h"

#include "base/digest.h"
#include "config/snapshot.h"

#include <utility>

namespace snipespar::config {

follower::follower(follower_settings settings)
    : settings_(std::move(settings)), freshness_(settings_.confirmation_bound),
      random_(settings_.seed)
{
}

duration follower::jittered(duration longest)
{
    std::uniform_int_distribution<duration::rep> spread(longest.count() / 2, longest.count());
    return duration(spread(random_));
}

follower_actions follower::on_tick(time_point now)
{
    follower_actions out;
    if (settings_.watches_platform && !watching_ && now >= next_watch_) {
        watching_ = true;
        out.emplace_back(watch_root{seen_revision_, settings_.watch_wait});
    }
    for (auto& [host, peer] : peers_) {
        if (now >= peer.next_query) {
            peer.next_query = now + settings_.query_interval;
            out.emplace_back(query_peer{host});
        }
    }
    if (target_ && now >= fetch_again_) {
        fetch_missing(next_source(), out, now);
    }
    return out;
}

follower_actions follower::on_watched(const std::optional<store::object>& changed, time_point sent,
                                      time_point now)
{
    watching_ = false;
    platform_answers_ = true;
    next_watch_ = now;
    follower_actions out;
    if (changed) {
        const auto decoded = decode_root(changed->value);
        if (!decoded.ok() || decoded->environment != settings_.environment) {
            ++damaged_;
            next_watch_ = now + jittered(settings_.retry_wait);
            return out;
        }
        seen_revision_ = changed->revision;
        platform_version_ = decoded->version;
        consider(changed->value, host_id(), out, now);
    }
    freshness_.on_platform_answer(platform_version_, sent);
    const auto due = on_tick(now);
    out.insert(out.end(), due.begin(), due.end());
    return out;
}

void follower::on_watch_failed(time_point now)
{
    watching_ = false;
    platform_answers_ = false;
    next_watch_ = now + jittered(settings_.retry_wait);
    freshness_.on_platform_failure(settings_.self, now);
}

follower_actions follower::on_peer_up(const host_id& peer, time_point now)
{
    peers_[peer] = known_peer{0, now};
    return on_tick(now);
}

void follower::on_peer_down(const host_id& peer)
{
    peers_.erase(peer);
}

follower_actions follower::on_report(const host_id& peer, const freshness_report& report,
                                     time_point sent, time_point now)
{
    freshness_.on_report(peer, report, sent);
    follower_actions out;
    const auto known = peers_.find(peer);
    if (known != peers_.end()) {
        known->second.version = report.version;
    }
    const auto pending = target_ ? target_->version : root_.version;
    if (report.version > pending) {
        out.emplace_back(fetch_root{peer});
    }
    if (target_ && now >= fetch_again_) {
        fetch_missing(next_source(), out, now);
    }
    return out;
}

follower_actions follower::on_root(const host_id& peer, const std::string& text, time_point now)
{
    follower_actions out;
    consider(text, peer, out, now);
    return out;
}

// Makes a root the one to be fetched if it is higher than anything known.
void follower::consider(const std::string& text, const host_id& source, follower_actions& out,
                        time_point now)
{
    auto decoded = decode_root(text);
    if (!decoded.ok() || decoded->environment != settings_.environment) {
        ++damaged_;
        return;
    }
    const auto pending = target_ ? target_->version : root_.version;
    if (decoded->version <= pending) {
        return;
    }
    target_ = std::move(*decoded);
    target_text_ = text;
    fetch_missing(source, out, now);
}

void follower::fetch_missing(const host_id& source, follower_actions& out, time_point now)
{
    fetch_again_ = now + settings_.fetch_timeout;
    for (const auto& ref : target_->parts) {
        if (!parts_.contains(ref.sha256)) {
            out.emplace_back(fetch_part{source, ref.sha256});
        }
    }
    try_adopt(out);
}

// Takes turns between the platform and the peers that hold the wanted version.
host_id follower::next_source()
{
    std::vector<host_id> sources;
    if (settings_.watches_platform) {
        sources.emplace_back();
    }
    for (const auto& [host, peer] : peers_) {
        if (peer.version >= target_->version) {
            sources.push_back(host);
        }
    }
    if (sources.empty()) {
        return {};
    }
    return sources[source_turn_++ % sources.size()];
}

follower_actions follower::on_part(const std::string& sha256, const std::string& bytes,
                                   time_point /*now*/)
{
    follower_actions out;
    if (!target_) {
        return out;
    }
    if (sha256_hex(bytes) != sha256) {
        ++damaged_;
        return out;
    }
    parts_.emplace(sha256, bytes);
    try_adopt(out);
    return out;
}

void follower::try_adopt(follower_actions& out)
{
    for (const auto& ref : target_->parts) {
        if (!parts_.contains(ref.sha256)) {
            return;
        }
    }
    auto assembled = assemble(*target_, parts_);
    if (!assembled.ok()) {
        // The writer stored something that this process cannot read; the next version may mend it.
        ++damaged_;
        target_.reset();
        return;
    }
    root_ = std::move(*target_);
    root_text_ = std::move(target_text_);
    target_.reset();
    part_map kept;
    for (const auto& ref : root_.parts) {
        kept.insert(parts_.extract(ref.sha256));
    }
    parts_ = std::move(kept);
    active_config_ = std::make_shared<const snapshot>(std::move(*assembled));
    freshness_.hold(root_.version);
    out.emplace_back(adopt{active_config_});
}

const std::string* follower::part(const std::string& sha256) const
{
    const auto found = parts_.find(sha256);
    return found == parts_.end() ? nullptr : &found->second;
}

} // namespace snipespar::config
