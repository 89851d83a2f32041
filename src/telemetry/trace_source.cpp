#include "telemetry/trace_source.h"

#include <algorithm>

namespace snipespar::telemetry {

template <class Id>
Id trace_source::make_id()
{
    Id id{};
    const std::lock_guard lock(mutex_);
    do {
        std::generate(id.begin(), id.end(),
                      [&] { return static_cast<std::uint8_t>(random_() & 0xffU); });
    } while (id == Id{});
    return id;
}

trace_context trace_source::start(std::string_view traceparent)
{
    if (const auto parent = parse_traceparent(traceparent)) {
        return child(*parent);
    }
    return {make_id<trace_id>(), make_id<span_id>(), true};
}

trace_context trace_source::child(const trace_context& parent)
{
    return {parent.trace, make_id<span_id>(), parent.sampled};
}

} // namespace snipespar::telemetry
