#pragma once

#include "store/object_reply.h"

#include <cstdint>
#include <map>
#include <string>

namespace snipespar::stand_in {

/// Faults that a test can enable, in any combination.
struct platform_faults {
    /// Calls get no response and have no effect.
    bool outage = false;
    /// Changes take effect, but their responses are lost.
    bool drop_answers = false;
    /// Lists show the objects as of when the fault was enabled.
    bool stale_list = false;
    /// Every nth call is refused as over the rate limit; 0 for none.
    std::uint64_t refuse_every = 0;
    /// Delay of each call.
    std::uint64_t slow_ms = 0;
};

/// In-memory table of the platform's objects and their revisions, with fault injection.
class object_table {
public:
    /// Performs one call; a watch returns immediately, empty when there is nothing newer.
    store::object_reply perform(const store::request& call)
    {
        ++calls_;
        if (faults_.outage) {
            return {absl::UnavailableError("outage"), {}, {}};
        }
        if (faults_.refuse_every != 0 && calls_ % faults_.refuse_every == 0) {
            return {absl::ResourceExhaustedError("rate"), {}, {}};
        }
        const auto before = revision_;
        auto reply = std::visit([this](const auto& item) { return apply(item); }, call);
        if (faults_.drop_answers && revision_ != before) {
            return {absl::UnknownError("answer lost"), {}, {}};
        }
        return reply;
    }

    void set_faults(const platform_faults& faults)
    {
        if (faults.stale_list && !faults_.stale_list) {
            stale_ = objects_;
        }
        faults_ = faults;
    }

    void set_hosts(std::vector<store::host_record> hosts) { hosts_ = std::move(hosts); }

    const platform_faults& faults() const { return faults_; }
    std::uint64_t calls() const { return calls_; }
    std::map<std::string, store::object>& objects() { return objects_; }

private:
    using reply = store::object_reply;

    reply apply(const store::get_object& call) const
    {
        const auto found = objects_.find(call.key);
        if (found == objects_.end()) {
            return {absl::NotFoundError("no such object"), {}, {}};
        }
        return {absl::OkStatus(), {found->second}, {}};
    }

    reply apply(const store::list_objects& call) const
    {
        const auto& source = faults_.stale_list ? stale_ : objects_;
        reply result;
        for (auto item = source.lower_bound(call.prefix); item != source.end(); ++item) {
            if (!item->first.starts_with(call.prefix)) {
                break;
            }
            result.objects.push_back({item->first, {}, item->second.revision});
        }
        return result;
    }

    reply apply(const store::put_object& call)
    {
        if (call.value.size() > store::max_value_bytes) {
            return {absl::InvalidArgumentError("value too large"), {}, {}};
        }
        if (call.expected && *call.expected != revision_of(call.key)) {
            return {absl::AbortedError("another revision"), {}, {}};
        }
        objects_[call.key] = {call.key, call.value, ++revision_};
        return {absl::OkStatus(), {{call.key, {}, revision_}}, {}};
    }

    reply apply(const store::erase_object& call)
    {
        const auto current = revision_of(call.key);
        if (current == 0) {
            return {absl::NotFoundError("no such object"), {}, {}};
        }
        if (current != call.expected) {
            return {absl::AbortedError("another revision"), {}, {}};
        }
        objects_.erase(call.key);
        ++revision_;
        return {};
    }

    reply apply(const store::watch_object& call) const
    {
        const auto found = objects_.find(call.key);
        if (found == objects_.end() || found->second.revision <= call.after) {
            return {};
        }
        return {absl::OkStatus(), {found->second}, {}};
    }

    reply apply(const store::list_hosts&) const { return {absl::OkStatus(), {}, hosts_}; }

    store::revision revision_of(const std::string& key) const
    {
        const auto found = objects_.find(key);
        return found == objects_.end() ? 0 : found->second.revision;
    }

    std::map<std::string, store::object> objects_;
    std::map<std::string, store::object> stale_;
    std::vector<store::host_record> hosts_;
    platform_faults faults_;
    store::revision revision_ = 0;
    std::uint64_t calls_ = 0;
};

} // namespace snipespar::stand_in
