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
    /// No answer came: the write may or may not have taken effect.
    unknown,
};

/// This process becomes the owner of a slot.
struct slot_activation {
    std::uint32_t group = 0;
    std::size_t slot = 0;
    /// What other processes hold of the slot, in each limit.
    std::map<limit_id, std::map<incarnation, micro_tokens>> lent;
    /// Whether the slot never had an owner before.
    bool first = false;
};

/// This process hands over a slot by its own choice.
struct slot_handover {
    std::uint32_t group = 0;
    std::size_t slot = 0;
};

/// A claim to send to a peer over its channel.
struct claim_delivery {
    incarnation to;
    claim_item claim;
};

/// What follows from an event, in the order given by the members.
struct allocator_effects {
    std::vector<slot_handover> handovers;
    std::vector<claim_delivery> claims;
    std::vector<slot_activation> activations;
    limit_actions actions;
    /// The fleet has replaced this process while it still owned or held something.
    bool replaced = false;
};

/// Decides who owns the slots of each group. A free slot is taken by a conditional write of the
/// group's table. A slot is free when it never had an owner, when its owner handed it over, when a
/// newer incarnation runs on the owner's host, or when the host has been missing from the
/// platform's list for the dwell; never because of an unanswered message. A new owner starts to use
/// the slot only after every other process has reported what it holds of it.
class slot_allocator {
public:
    slot_allocator(incarnation self, limit_settings settings);

    /// Takes the platform's list of live processes. Call it after each successful read of the list,
    /// changed or not: a host counts as gone only once lists over the whole dwell lack it.
    void set_members(time_point now, std::vector<member> members);

    /// Watches for the loss of a process that the list may not show yet.
    void watch(const incarnation& process);

    /// A message from a process shows that it ran: the lists must lack it for another dwell from
    /// `now` on before it counts as gone.
    void record_activity(time_point now, const incarnation& process);

    /// Takes the result of a table read; none when the platform did not answer. The answer to any
    /// but the latest read of the group is ignored.
    allocator_effects table_read(time_point now, const limits::read_table& read,
                                 const std::optional<versioned_table>& result);

    /// Takes the result of a table write.
    allocator_effects table_written(time_point now, std::uint32_t group, write_outcome outcome);

    /// Learns an owner from a peer. False when the news is older than what is known.
    bool update_owner(std::uint32_t group, std::size_t slot, const slot_owner& owner,
                      allocator_effects& effects);

    /// Takes a peer's report of what it holds of a slot that this process has claimed.
    allocator_effects reported(time_point now, const incarnation& from, const report_item& report);

    /// A peer gave back part of a slot that this process is about to own.
    void given_back(const incarnation& from, std::uint32_t group, const give_back_item& item);

    /// A process is dead; what it held is the owner's again.
    void remove_process(const incarnation& terminated);

    /// Names the processes that a handed-over slot was lent to, for the next owner.
    void set_lent_to(std::uint32_t group, std::size_t slot, std::vector<incarnation> borrowers);

    /// Fills in what the next owner must know of a slot that this process handed over.
    void describe_handover(report_item& report) const;

    /// Looks for slots to take or hand over, and for reads and writes to repeat.
    allocator_effects tick(time_point now);

    /// After a pause: requires every table to be read again, forgets how long hosts were missing,
    /// and changes no owner until `confirm`.
    void suspend(time_point now);

    /// Ends a suspension.
    void confirm() { suspended_ = false; }

    /// Whether every table has been read since it was last required.
    bool tables_read() const;

    const allocation_table& table(std::uint32_t group) const { return groups_.at(group).known; }
    bool active(std::uint32_t group, std::size_t slot) const;
    const std::vector<member>& members() const { return members_; }

    /// Whether the lists have lacked a process's host for the dwell, or show a newer incarnation.
    bool is_removed(const incarnation& process) const;

private:
    struct recovery {
        time_point started;
        std::set<incarnation> queried;
        std::set<incarnation> reported;
        std::map<limit_id, std::map<incarnation, micro_tokens>> lent;
        /// Set once the slot's last owner has named all processes that may hold part of it.
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
