#pragma once

#include "cli/endpoint.h"
#include "snipespar/time.h"

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace snipespar::platform {

/// One object of the platform's store, or its removal.
struct watched_object {
    std::string name;
    /// What its writer put there; null for a removed object.
    nlohmann::json content;
    bool is_removed = false;
};

/// What an object watch reports. All are called on the watch's executor.
struct object_watch_handler {
    /// All objects of the kind, as listed; replaces everything reported before.
    std::function<void(const std::vector<watched_object>&)> listed;
    std::function<void(const watched_object&)> changed;
    /// The store answers again, or has stopped to answer and why.
    std::function<void(bool is_reached, const std::string& reason)> contact;
};

/// How an object watch polls.
struct object_watch_timing {
    /// How long the store holds a poll without news. A poll that the store has lost is noticed a
    /// second and a half later.
    duration poll_wait = std::chrono::seconds(25);
    /// Pause after news, so that changes that follow closely come in one answer.
    duration poll_pause{};
};

/// Follows all objects of one kind: a paged list, then one long poll after the other. A dropped
/// history or a lost answer leads to a new list, with backoff.
class object_watch {
public:
    object_watch(boost::asio::any_io_executor executor, const cli::endpoint& store,
                 std::string kind, object_watch_timing pace, std::uint64_t seed,
                 object_watch_handler handler);
    ~object_watch();
    object_watch(const object_watch&) = delete;
    object_watch& operator=(const object_watch&) = delete;

    void start();

    /// Lists again as soon as possible, because something newer is known to exist.
    void refresh();

private:
    class follower;
    std::shared_ptr<follower> follower_;
};

} // namespace snipespar::platform
