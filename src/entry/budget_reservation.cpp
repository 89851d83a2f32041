#include "entry/budget_reservation.h"

#include "entry/team_budgets.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace snipespar::entry {

namespace {

namespace asio = boost::asio;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t batch_tokens = 16;
constexpr auto confirmation_poll_interval = std::chrono::milliseconds(20);

} // namespace

// Set on the request's executor.
struct budget_reservation::decision {
    explicit decision(const asio::any_io_executor& executor) : ready(executor)
    {
        ready.expires_at(asio::steady_timer::time_point::max());
    }

    bool made = false;
    std::optional<entry::refusal> refusal;
    asio::steady_timer ready;
};

budget_reservation::budget_reservation(team_budgets& budgets, const asio::any_io_executor& executor,
                                       const team_id& team, std::uint64_t tokens)
    : budgets_(budgets), executor_(executor), decision_(std::make_shared<decision>(executor)),
      generation_(budgets.generation()),
      number_(budgets.reserve(
          team, tokens, [executor, decision = decision_](std::optional<refusal> refused) {
              asio::post(executor, [decision, refused = std::move(refused)]() mutable {
                  decision->made = true;
                  decision->refusal = std::move(refused);
                  decision->ready.cancel();
              });
          }))
{
}

budget_reservation::~budget_reservation()
{
    report();
    budgets_.finished(number_);
}

asio::awaitable<std::optional<refusal>> budget_reservation::decided()
{
    const auto decision = decision_;
    while (!decision->made) {
        co_await decision->ready.async_wait(as_result);
    }
    co_return decision->refusal;
}

asio::awaitable<bool> budget_reservation::may_deliver()
{
    auto allowed = budgets_.may_deliver(generation_);
    while (!allowed) {
        asio::steady_timer wait(executor_, confirmation_poll_interval);
        co_await wait.async_wait(as_result);
        allowed = budgets_.may_deliver(generation_);
    }
    co_return *allowed;
}

void budget_reservation::delivered(std::uint64_t tokens)
{
    unreported_ += tokens;
    if (unreported_ >= batch_tokens) {
        report();
    }
}

void budget_reservation::report()
{
    if (unreported_ > 0) {
        budgets_.delivered(number_, std::exchange(unreported_, 0));
    }
}

} // namespace snipespar::entry
