#include "poison/suspect_record.h"

#include "base/stable_hash.h"

#include <utility>

namespace snipespar::poison {

suspect_record::suspect_record(upstream_id self, std::uint64_t start, suspect_limits limits)
    : self_(std::move(self)), start_(start), table_(limits)
{
}

run_verdict suspect_record::verdict(fingerprint print, bool sole, time_point now) const
{
    switch (table_.of(print, now)) {
    case suspicion::none:
        return {run_verdict::kind::run, {}};
    case suspicion::suspect:
        if (sole || !table_.died_at(print, self_, now)) {
            return {run_verdict::kind::run_alone, {}};
        }
        break;
    case suspicion::refused:
        break;
    }
    return {run_verdict::kind::refuse, table_.remaining(print, now)};
}

suspect_digest suspect_record::on_death(std::span<const fingerprint> in_flight, time_point now)
{
    const death_id id{self_, combine_hash(start_, ++deaths_)};
    return table_.on_death(id, in_flight, now);
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
