#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <concepts>
#include <exception>
#include <thread>

namespace snipespar::sidecar {

/// Something that a coroutine can wait for.
template <class Action>
concept awaited_action = requires(const Action& action) {
    { action() } -> std::same_as<boost::asio::awaitable<void>>;
};

/// How long the thread sleeps after a pause that failed: as long as the sidecar's shortest pause.
inline constexpr auto failed_pause_sleep = std::chrono::milliseconds(15);

/// Runs one round after the other, each followed by a pause, until `should_go_on` returns false.
/// An exception of a round or a pause ends only that one and is passed to `on_failure`.
template <awaited_action Round, awaited_action Pause, std::predicate GoesOn,
          std::invocable<const std::exception&> Failure>
boost::asio::awaitable<void> run_rounds(Round round, Pause pause, GoesOn should_go_on,
                                        Failure on_failure)
{
    const auto report = [&](const std::exception& error) {
        try {
            on_failure(error);
        }
        catch (const std::exception&) {
            // The log has failed, so that there is nowhere left to report to.
        }
    };
    const auto executor = co_await boost::asio::this_coro::executor;
    while (should_go_on()) {
        try {
            co_await round();
        }
        catch (const std::exception& error) {
            report(error);
        }
        bool has_paused = false;
        try {
            co_await pause();
            has_paused = true;
        }
        catch (const std::exception& error) {
            report(error);
        }
        if (has_paused) {
            continue;
        }
        // Cannot fail, unlike another timer, and keeps the loop from spinning.
        std::this_thread::sleep_for(failed_pause_sleep);
        try {
            co_await boost::asio::post(executor, boost::asio::use_awaitable);
        }
        catch (const std::exception& error) {
            report(error);
        }
    }
}

} // namespace snipespar::sidecar
