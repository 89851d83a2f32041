#include "adapter_slots.h"

#include <algorithm>

namespace engine_stand_in {

adapter_slots::adapter_slots(std::uint32_t slots, bool checks_fencing)
    : slots_(slots), checks_fencing_(checks_fencing)
{
}

bool adapter_slots::accepts_fencing(std::uint64_t fencing_number)
{
    if (checks_fencing_ && fencing_number < highest_fencing_number_) {
        return false;
    }
    highest_fencing_number_ = std::max(highest_fencing_number_, fencing_number);
    return true;
}

order_outcome adapter_slots::begin_load(const std::string& name, std::uint64_t fencing_number)
{
    if (!accepts_fencing(fencing_number)) {
        return order_outcome::old_fencing_number;
    }
    if (loaded_.contains(name)) {
        return order_outcome::already_done;
    }
    if (loading_.contains(name)) {
        return order_outcome::in_progress;
    }
    if (loaded_.size() + loading_.size() >= slots_) {
        return order_outcome::no_free_slot;
    }
    loading_.insert(name);
    return order_outcome::accepted;
}

void adapter_slots::end_load(const std::string& name, bool loaded)
{
    const bool was_loading = loading_.erase(name) > 0;
    if (was_loading && loaded) {
        loaded_.insert(name);
    }
}

order_outcome adapter_slots::unload(const std::string& name, std::uint64_t fencing_number)
{
    if (!accepts_fencing(fencing_number)) {
        return order_outcome::old_fencing_number;
    }
    return loaded_.erase(name) > 0 ? order_outcome::accepted : order_outcome::already_done;
}

void adapter_slots::evict_all()
{
    loaded_.clear();
    loading_.clear();
}

} // namespace engine_stand_in
