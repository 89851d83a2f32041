#pragma once

#include "entry/refusal.h"
#include "limits/limit_actions.h"
#include "snipespar/ids.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <optional>

namespace snipespar::entry {

class team_budgets;

/// Tokens of a team's budget that are reserved for one request; the destructor releases them. All
/// members are called on the request's executor.
class budget_reservation {
public:
    /// Requests the tokens; `budgets` must outlive the object.
    budget_reservation(team_budgets& budgets, const boost::asio::any_io_executor& executor,
                       const team_id& team, std::uint64_t tokens);
    ~budget_reservation();
    budget_reservation(const budget_reservation&) = delete;
    budget_reservation& operator=(const budget_reservation&) = delete;

    /// Waits for the decision: none if the tokens are reserved, otherwise the refusal.
    boost::asio::awaitable<std::optional<refusal>> decided();

    /// Waits until this process may deliver reserved tokens. False when the fleet has redistributed
    /// them, so that the response must end here.
    boost::asio::awaitable<bool> may_deliver();

    /// Tokens were delivered. Reported in batches: a late report keeps the tokens reserved for
    /// longer, never for less.
    void delivered(std::uint64_t tokens);

private:
    struct decision;

    void report();

    team_budgets& budgets_;
    boost::asio::any_io_executor executor_;
    std::shared_ptr<decision> decision_;
    std::uint64_t generation_;
    std::uint64_t unreported_ = 0;
    limits::request_number number_;
};

} // namespace snipespar::entry
