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

/// Tokens of a team's budget that one request holds, given back by the destructor. Belongs to the
/// request's executor.
class budget_reservation {
public:
    /// Asks for the tokens; `budgets` must outlive the object.
    budget_reservation(team_budgets& budgets, const boost::asio::any_io_executor& executor,
                       const team_id& team, std::uint64_t tokens);
    ~budget_reservation();
    budget_reservation(const budget_reservation&) = delete;
    budget_reservation& operator=(const budget_reservation&) = delete;

    /// Waits for the answer: none when the tokens are reserved, or else the refusal.
    boost::asio::awaitable<std::optional<refusal>> answered();

    /// Waits until this process may deliver reserved tokens. False when the fleet has shared them
    /// out, so that the answer must end here.
    boost::asio::awaitable<bool> may_deliver();

    /// Tokens were delivered. Reported in batches: a late report keeps the tokens' place in the
    /// budget for longer, never for less.
    void delivered(std::uint64_t tokens);

private:
    struct answer;

    void report();

    team_budgets& budgets_;
    boost::asio::any_io_executor executor_;
    std::shared_ptr<answer> answer_;
    std::uint64_t life_;
    std::uint64_t unreported_ = 0;
    limits::request_number number_;
};

} // namespace snipespar::entry
