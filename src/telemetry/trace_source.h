#pragma once

#include "telemetry/trace_context.h"

#include <cstdint>
#include <mutex>
#include <random>
#include <string_view>

namespace snipespar::telemetry {

/// Generates identifiers of traces and spans from a seed. Any thread may use it.
class trace_source {
public:
    explicit trace_source(std::uint64_t seed) : random_(seed) {}

    /// The context of a new span: a child of the one in the header, or the root of a new trace when
    /// the header is absent or malformed.
    trace_context start(std::string_view traceparent);

    /// The context of a child of `parent`.
    trace_context child(const trace_context& parent);

private:
    template <class Id>
    Id make_id();

    std::mutex mutex_;
    std::mt19937_64 random_;
};

} // namespace snipespar::telemetry
