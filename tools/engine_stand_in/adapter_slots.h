#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace engine_stand_in {

/// Outcome of an order to load or unload an adapter.
enum class order_outcome {
    accepted,
    already_done,
    no_free_slot,
    in_progress,
    old_fencing_number,
};

/// The adapters resident on the engine, and the highest fencing number received.
class adapter_slots {
public:
    adapter_slots(std::uint32_t slots, bool checks_fencing);

    /// Reserves a slot for a load that starts now.
    order_outcome begin_load(const std::string& name, std::uint64_t fencing_number);

    /// Ends a load: the adapter becomes resident, or its slot is free again.
    void end_load(const std::string& name, bool loaded);

    /// Evicts an adapter, even while requests run on it.
    order_outcome unload(const std::string& name, std::uint64_t fencing_number);

    /// Evicts every adapter and cancels every load, as a process restart would.
    void evict_all();

    bool is_resident(const std::string& name) const { return loaded_.contains(name); }
    std::size_t loading() const { return loading_.size(); }
    const std::set<std::string>& loaded() const { return loaded_; }

private:
    bool accepts_fencing(std::uint64_t fencing_number);

    std::uint32_t slots_;
    bool checks_fencing_;
    std::uint64_t highest_fencing_number_ = 0;
    std::set<std::string> loaded_;
    std::set<std::string> loading_;
};

} // namespace engine_stand_in
