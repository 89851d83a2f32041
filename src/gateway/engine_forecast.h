#pragma once

#include <cstdint>
#include <vector>

namespace snipespar::gateway {

struct upstream_state;

/// Predicts how long engines take until they begin a call, from the work that their sidecars state
/// and the prompts that this gateway has sent since.
///
/// The pattern that this answers: engines of one service that differ in speed, and prompts that
/// differ in length, so that equal numbers of calls are unequal work.
class engine_forecast {
public:
    explicit engine_forecast(const std::vector<const upstream_state*>& engines);

    /// Whether any engine states how fast it reads. Without that, loads are all that is known.
    bool is_known() const { return usual_speed_ > 0; }

    /// Milliseconds until the engine, on which the call's adapter is resident, has read a prompt of
    /// this length; 0 while nothing is known.
    double start_ms(const upstream_state& engine, std::uint64_t prompt_tokens) const;

private:
    /// Prompt tokens read in a millisecond by the engines whose speed is known, on average.
    double usual_speed_ = 0;
};

} // namespace snipespar::gateway
