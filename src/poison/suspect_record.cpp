#include "poison/suspect_record.h"

#include "base/stable_hash.h"

#include <utility>

namespace snipespar::poison {

suspect_record::suspect_record(upstream_id self, std::uint64_t start, suspect_limits limits)
    : self_(std::move(self)), start_(start), table_(limits)
{
}

run_verdict suspect_record::verdict(fingerprint print, bool only_candidate, time_point now) const
{
    switch (table_.suspicion_of(print, now)) {
    case suspicion::none:
        return {run_verdict::kind::run, {}};
    case suspicion::suspect:
        if (only_candidate || !table_.crashed_at(print, self_, now)) {
            return {run_verdict::kind::run_alone, {}};
        }
        break;
    case suspicion::refused:
        break;
    }
    return {run_verdict::kind::refuse, table_.remaining(print, now)};
}

suspect_digest suspect_record::on_crash(std::span<const fingerprint> in_flight, time_point now)
{
    const crash_id id{self_, combine_hash(start_, ++crash_count_)};
    return table_.on_crash(id, in_flight, now);
}

suspect_digest suspect_record::on_clean_run_alone(fingerprint print, time_point now)
{
    return table_.on_clean_run_alone(print, now);
}

std::vector<fingerprint> suspect_record::merge(const suspect_digest& digest, time_point now)
{
    return table_.merge(digest, now);
}

} // namespace snipespar::poison
