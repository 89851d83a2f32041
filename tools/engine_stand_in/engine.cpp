#include "engine.h"

#include "base/stable_hash.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace engine_stand_in {

engine::engine(boost::asio::any_io_executor executor, const engine_options& options)
    : options_(options), slots_(options.slots, options.checks_fencing),
      queue_(std::move(executor), options.max_running), incarnation_(options.incarnation)
{
}

void engine::cold_restart()
{
    ++incarnation_;
    slots_.evict_all();
    report_.clear();
}

std::chrono::microseconds engine::load_time() const
{
    const std::chrono::microseconds base = faults_.load_time.value_or(options_.load_time);
    const auto in_flight = static_cast<std::int64_t>(slots_.loading());
    const auto at_full_speed = static_cast<std::int64_t>(options_.full_speed_loads);
    return base * std::max(in_flight, at_full_speed) / at_full_speed;
}

nlohmann::json engine::current_report() const
{
    return {
        {"running", queue_.running()},
        {"waiting", queue_.waiting()},
        {"loaded", slots_.loaded()},
        {"loading", slots_.loading()},
        {"incarnation", incarnation_},
        {"software", options_.software.empty() ? "1" : options_.software},
    };
}

std::string engine::load_report()
{
    const auto now = std::chrono::steady_clock::now();
    if (report_.empty() || now - reported_at_ >= options_.report_lag) {
        report_ = current_report().dump();
        reported_at_ = now;
    }
    return report_;
}

std::string token_text(std::string_view model, std::string_view prompt, std::uint32_t index)
{
    constexpr unsigned text_bits = 20;
    const auto run =
        snipespar::combine_hash(snipespar::stable_hash(model), snipespar::stable_hash(prompt));
    return fmt::format(" {:05x}", snipespar::combine_hash(run, index) >> (64U - text_bits));
}

} // namespace engine_stand_in
