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
constexpr auto confirmation_interval = std::chrono::milliseconds(20);

} // namespace

// Filled in on the request's executor.
struct budget_reservation::answer {
    explicit answer(const asio::any_io_executor& executor) : ready(executor)
    {
        ready.expires_at(asio::steady_timer::time_point::max());
    }

    bool given = false;
    std::optional<entry::refusal> refusal;
    asio::steady_timer ready;
};

budget_reservation::budget_reservation(team_budgets& budgets, const asio::any_io_executor& executor,
                                       const team_id& team, std::uint64_t tokens)
    : budgets_(budgets), executor_(executor), answer_(std::make_shared<answer>(executor)),
      life_(budgets.life()),
      number_(budgets.reserve(
          team, tokens, [executor, answer = answer_](std::optional<refusal> refused) {
              asio::post(executor, [answer, refused = std::move(refused)]() mutable {
                  answer->given = true;
                  answer->refusal = std::move(refused);
                  answer->ready.cancel();
              });
          }))
{
}

budget_reservation::~budget_reservation()
{
    report();
    budgets_.finished(number_);
}

asio::awaitable<std::optional<refusal>> budget_reservation::answered()
{
    const auto answer = answer_;
    while (!answer->given) {
        co_await answer->ready.async_wait(as_result);
    }
    co_return answer->refusal;
}

asio::awaitable<bool> budget_reservation::may_deliver()
{
    auto allowed = budgets_.may_deliver(life_);
    while (!allowed) {
        asio::steady_timer wait(executor_, confirmation_interval);
        co_await wait.async_wait(as_result);
        allowed = budgets_.may_deliver(life_);
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
