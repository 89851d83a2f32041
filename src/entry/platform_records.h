#pragma once

#include "entry/claim_store.h"
#include "entry/limit_store.h"
#include "snipespar/ids.h"
#include "store/http_object_store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace snipespar::cli {
struct entry_settings;
}

namespace snipespar::entry {

/// Stores the allocation tables of shared limits and the journals of claims in the platform, and
/// polls its list of hosts. Runs on the control thread.
class platform_records {
public:
    /// Returns the linked entries; each of them is running, whether or not it is listed yet.
    using linked_entries = std::function<std::vector<incarnation>()>;
    /// Called after each read of the list, with the hosts that it marks as leaving.
    using leaving_handler = std::function<void(const std::vector<host_id>&)>;

    /// `settings` must name a platform.
    platform_records(boost::asio::io_context& control, const cli::entry_settings& settings,
                     linked_entries linked, leaving_handler leaving);

    /// Starts polling the list of hosts.
    void start();
    void stop();

    /// Stores that refer to this object, which must outlive them.
    limit_store limits();
    claim_store claims();

private:
    using reply_handler = std::function<void(store::object_reply)>;

    void perform(store::request call, reply_handler reply);
    void list_hosts();
    std::string table_key(std::uint32_t group) const;
    std::vector<limits::member> members_of(const std::vector<store::host_record>& hosts) const;

    boost::asio::io_context& control_;
    boost::asio::steady_timer timer_;
    store::http_object_store store_;
    std::string environment_;
    host_id self_;
    failure_domain_id own_domain_;
    linked_entries linked_;
    leaving_handler leaving_;
    /// The latest listing that has not been consumed.
    std::optional<std::vector<limits::member>> listed_;
    /// Set once members were listed. Until then an entry that cannot reach the platform uses the
    /// linked entries as the list, so that it can borrow from them.
    bool ever_listed_ = false;
    bool stopped_ = false;
};

} // namespace snipespar::entry
