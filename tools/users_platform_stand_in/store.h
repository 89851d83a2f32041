#pragma once

#include "http_session.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace users_platform_stand_in {

/// The users' metadata store: objects by kind and name, paged lists, conditional writes, and
/// watches as long polls. `DELETE /history` drops the history, so that older watches get 410.
/// `POST /copy` takes a copy, and `POST /restore` brings it back in a new era, which all answers
/// state: revisions are assigned again from that of the copy. `PUT /raw/KIND/NAME` stores any bytes
/// as an object, as another writer may, and returns them unchanged in lists and events; an empty
/// body removes them. Names in targets are percent-encoded. `POST /paging` with `{"size": NUMBER,
/// "begins_anew": BOOL}` sets the objects of a page, and makes a list that is to go on behind a
/// name that the store does not have begin from the start; it returns the pages listed by kind.
/// `POST /damage` makes the next read of the configuration state the largest
/// era.
class store {
public:
    explicit store(boost::asio::io_context& context) : context_(context) {}

    boost::asio::awaitable<bool> handle(boost::asio::ip::tcp::socket& socket,
                                        const request& message);

private:
    struct change {
        std::uint64_t revision = 0;
        std::string kind;
        /// JSON text, except for what raw objects hold.
        std::string event;
    };

    boost::asio::awaitable<bool> answer(boost::asio::ip::tcp::socket& socket,
                                        const request& message, response content);
    void restore();
    void wake_watches();
    response set_paging(const request& message);
    bool is_known(const std::string& kind, const std::string& name) const;
    response list(const std::string& kind, const std::string& last_name);
    boost::asio::awaitable<response> watch(std::string kind, std::uint64_t from,
                                           std::uint64_t wait_ms);
    response write(const request& message, const std::string& kind, const std::string& name);
    response remove(const std::string& kind, const std::string& name);
    void record(const std::string& kind, const std::string& object, bool is_removed);
    response write_raw(const request& message, const std::string& kind, const std::string& name);

    std::map<std::string, std::map<std::string, nlohmann::json>> objects_;
    std::map<std::string, std::map<std::string, std::string>> raw_objects_;
    std::size_t page_size_ = 50;
    bool begins_anew_ = false;
    /// Pages that were listed, by kind.
    std::map<std::string, int> pages_;
    std::vector<change> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t history_begins_ = 1;
    std::uint64_t era_ = 1;
    /// The next answer to a read of the configuration states the largest era.
    bool is_era_damaged_ = false;
    std::map<std::string, std::map<std::string, nlohmann::json>> copied_objects_;
    std::uint64_t copied_revision_ = 1;
    boost::asio::io_context& context_;
    /// One of each watch that waits; cancelled at each change.
    std::set<boost::asio::steady_timer*> waiting_;
};

} // namespace users_platform_stand_in
