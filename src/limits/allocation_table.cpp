#include "limits/allocation_table.h"

#include "base/stable_hash.h"

#include <algorithm>
#include <tuple>

namespace snipespar::limits {

namespace {

const member* find_member(const std::vector<member>& members, const incarnation& id)
{
    const auto found = std::ranges::find(members, id, &member::id);
    return found == members.end() ? nullptr : &*found;
}

} // namespace

std::optional<incarnation> candidate(std::uint32_t group, std::size_t slot,
                                     const allocation_table& table,
                                     const std::vector<member>& members)
{
    using rank = std::tuple<std::size_t, bool, double>;
    std::optional<rank> best;
    std::optional<incarnation> result;
    for (const auto& item : members) {
        if (item.leaving) {
            continue;
        }
        std::size_t owned = 0;
        bool domain_taken = false;
        for (std::size_t other = 0; other < slot_count; ++other) {
            const auto& owner = table.slots.at(other).owner;
            const member* live = other == slot ? nullptr : find_member(members, owner);
            if (live == nullptr) {
                continue;
            }
            owned += live->id == item.id ? 1 : 0;
            domain_taken = domain_taken || live->failure_domain == item.failure_domain;
        }
        const double score = rendezvous_score(group, stable_hash(item.id.host.str()), 1.0);
        const rank current{owned, domain_taken, -score};
        if (!best || current < *best) {
            best = current;
            result = item.id;
        }
    }
    return result;
}

} // namespace snipespar::limits
