#pragma once

#include "limits/allocation_table.h"
#include "limits/limit_actions.h"
#include "limits/limit_settings.h"
#include "limits/messages.h"
#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace snipespar::limits {

/// A group's allocation table as read from the platform; version 0 means that none exists.
struct versioned_table {
    std::uint64_t version = 0;
    allocation_table table;

    friend bool operator==(const versioned_table&, const versioned_table&) = default;
};

/// Outcome of a conditional write of an allocation table.
enum class write_outcome {
    /// The table has been written.
    written,
    /// The table had another version; nothing was written.
    conflict,
    /// No response arrived: the write may or may not have taken effect.
    unknown,
};

/// This process becomes the owner of a slot.
struct slot_activation {
    std::uint32_t group = 0;
    std::size_t slot = 0;
    /// Capacity of the slot that other processes hold, for each limit.
    std::map<limit_id, std::map<incarnation, micro_tokens>> lent;
    /// Whether the slot never had an owner before.
    bool first = false;
};

/// This process hands over a slot voluntarily.
struct slot_handover {
    std::uint32_t group = 0;
    std::size_t slot = 0;
};

/// A claim to send to a peer over its channel.
struct claim_delivery {
    incarnation to;
    claim_item claim;
};

/// The new owner of a slot that this process handed over. It reads the table only if it hears of
/// it.
struct owner_notice {
    incarnation to;
    std::uint32_t group = 0;
};

/// Effects of an event, to be applied in the order of the members.
struct allocator_effects {
    std::vector<slot_handover> handovers;
    std::vector<claim_delivery> claims;
    std::vector<slot_activation> activations;
    std::vector<owner_notice> notices;
    limit_actions actions;
    /// Another process has become the owner of a slot that this one still owned or was recovering.
    bool replaced = false;
};

/// Assigns the slots of each group to owners. A free slot is taken by a conditional write of the
/// group's table. A slot is free when it never had an owner, when its owner handed it over, when a
/// newer incarnation runs on the owner's host, or when the host has been missing from the
/// platform's list for `member_dwell`; an unanswered message never frees it. A new owner starts to
/// use the slot only after every other process has reported what it holds of it.
class slot_allocator {
public:
    slot_allocator(incarnation self, limit_settings settings);

    /// Applies the platform's list of live processes. Call it after each successful read of the
    /// list, changed or not: a host counts as removed only once it is missing from the lists over
    /// the whole `member_dwell`.
    void set_members(time_point now, std::vector<member> members);

    /// Tracks the removal of a process that the list may not show yet.
    void watch(const incarnation& process);

    /// Records that a process was running, as it sent a message: it must be missing from the lists
    /// for another `member_dwell` from `now` on before it counts as removed.
    void record_activity(time_point now, const incarnation& process);

    /// Applies the result of a table read; empty if the platform did not respond. The result of any
    /// but the latest read of the group is ignored.
    allocator_effects table_read(time_point now, const limits::read_table& read,
                                 const std::optional<versioned_table>& result);

    /// Applies the result of a table write.
    allocator_effects table_written(time_point now, std::uint32_t group, write_outcome outcome);

    /// Updates a slot's owner from a peer's information. Returns false if it is outdated.
    bool update_owner(std::uint32_t group, std::size_t slot, const slot_owner& owner,
                      allocator_effects& effects);

    /// Applies a peer's report of what it holds of a slot that this process has claimed.
    allocator_effects reported(time_point now, const incarnation& from, const report_item& report);

    /// Applies a peer's give-back of part of a slot that this process is recovering.
    void given_back(const incarnation& from, std::uint32_t group, const give_back_item& item);

    /// Removes a terminated process; what it held returns to the owner.
    void remove_process(const incarnation& terminated);

    /// Records the processes that a handed-over slot was lent to, for the next owner.
    void set_lent_to(std::uint32_t group, std::size_t slot, std::vector<incarnation> borrowers);

    /// Adds what the next owner needs to know of a slot that this process handed over.
    void describe_handover(report_item& report) const;

    /// Checks for slots to take or hand over, and for reads and writes to retry.
    allocator_effects tick(time_point now);

    /// Handles a pause: requires every table to be reread, resets how long hosts have been missing,
    /// and changes no owner until `confirm`.
    void suspend(time_point now);

    /// Ends a suspension.
    void confirm() { suspended_ = false; }

    /// Whether every required read of a table has completed.
    bool tables_read() const;

    const allocation_table& table(std::uint32_t group) const { return groups_.at(group).known; }
    bool active(std::uint32_t group, std::size_t slot) const;
    const std::vector<member>& members() const { return members_; }

    /// Whether a process's host has been missing from the lists for `member_dwell`, or a newer
    /// incarnation is listed.
    bool is_removed(const incarnation& process) const;

private:
    struct recovery {
        time_point started;
        std::set<incarnation> queried;
        std::set<incarnation> reported;
        std::map<limit_id, std::map<incarnation, micro_tokens>> lent;
        /// Set once the slot's previous owner has reported all processes that may hold part of it.
        std::optional<std::set<incarnation>> borrowers;
    };

    struct handover {
        std::uint64_t generation = 0;
        std::vector<incarnation> lent_to;
    };

    struct group_state {
        allocation_table known;
        std::optional<std::uint64_t> version;
        bool read_required = true;
        bool operation_outstanding = false;
        std::uint64_t latest_read = 0;
        time_point next_try;
        time_point reread_at;
        std::array<bool, slot_count> active{};
        std::array<std::optional<recovery>, slot_count> recovering;
        std::array<handover, slot_count> handed_over;
        std::array<std::optional<time_point>, slot_count> free_since;
    };

    const member* find(const incarnation& process) const;
    bool is_free(const group_state& state, std::size_t slot) const;
    std::vector<member> members_without_unresponsive_candidates(time_point now, std::uint32_t group,
                                                                std::size_t slot) const;
    std::optional<std::size_t> slot_to_hand_over(time_point now, std::uint32_t group) const;
    void apply_table(time_point now, std::uint32_t group, const allocation_table& table,
                     allocator_effects& effects);
    void start_recovery(time_point now, std::uint32_t group, std::size_t slot,
                        allocator_effects& effects);
    void recover(time_point now, std::uint32_t group, std::size_t slot, allocator_effects& effects);
    bool recovered(time_point now, const recovery& current) const;
    void hand_over(std::uint32_t group, std::size_t slot, allocator_effects& effects);
    void propose(time_point now, std::uint32_t group, allocator_effects& effects);
    void read(time_point now, std::uint32_t group, allocator_effects& effects);

    incarnation self_;
    limit_settings settings_;
    std::vector<member> members_;
    std::map<incarnation, time_point> member_since_;
    std::map<host_id, std::uint64_t> newest_start_;
    std::map<host_id, std::optional<time_point>> missing_since_;
    time_point listed_at_;
    bool suspended_ = false;
    std::vector<group_state> groups_;
};

} // namespace snipespar::limits
