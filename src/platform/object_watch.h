#pragma once

#include "cli/endpoint.h"
#include "platform/list_extent.h"
#include "platform/object_codec.h"
#include "platform/store_read.h"
#include "platform/watch_timing.h"
#include "platform/watched_object.h"
#include "snipespar/time.h"

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snipespar::platform {

/// Events of an object watch. All are called on the watch's executor.
struct object_watch_handler {
    /// The objects of the kind, as listed. All of them replace everything reported before; a part
    /// replaces what was reported of its own objects.
    std::function<void(const std::vector<watched_object>&, list_extent)> listed;
    /// A list could not be read to its end. It is repeated after a pause that grows.
    std::function<void(const std::string& reason)> list_cut;
    std::function<void(const watched_object&)> changed;
    /// The store was restored from a copy some seconds old; its era is now this one. All objects
    /// are listed next.
    std::function<void(std::uint64_t era)> restored;
    /// A response stated an era out of all proportion to the known one, after others that did not.
    /// The era is ignored, and the response used.
    std::function<void(std::uint64_t era)> era_doubtful;
    /// An object could not be read and is left out, or has no content if `name` is not empty.
    /// Called once for each list and event that holds it.
    std::function<void(const std::string& name, const std::string& reason)> unreadable;
    /// The store has become reachable, or unreachable for a reason.
    std::function<void(bool is_reachable, const std::string& reason)> reachability_changed;
    /// All changes made before `asked_at` have been reported.
    std::function<void(time_point asked_at)> read;
    /// A read has ended, also one without a result.
    std::function<void(const store_read&)> read_ended;
};

/// How an object watch reads.
struct object_watch_options {
    watch_timing timing;
    content_form form = content_form::value;
};

/// Watches all objects of one kind: a paged list, then one long poll after the other. After a lost
/// response the request is repeated, after a dropped history the list, both with backoff.
/// `watch_plan` decides which read is next.
class object_watch {
public:
    object_watch(boost::asio::any_io_executor executor, const cli::endpoint& store,
                 std::string kind, object_watch_options options, std::uint64_t seed,
                 object_watch_handler handler);
    ~object_watch();
    object_watch(const object_watch&) = delete;
    object_watch& operator=(const object_watch&) = delete;

    void start();

    const std::string& kind() const;

    /// Reads what may be newer than the last response: see `watch_plan::read_again`.
    void read_again(duration patience);

    /// Lists again if the watch has not noticed yet that the store was restored in this era.
    void list_again(std::uint64_t era);

private:
    class follower;
    std::shared_ptr<follower> follower_;
};

} // namespace snipespar::platform
