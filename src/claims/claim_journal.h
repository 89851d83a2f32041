#pragma once

#include "claims/claim_index.h"
#include "claims/claim_request.h"
#include "claims/instant.h"
#include "claims/journal_action.h"
#include "claims/journal_page.h"
#include "snipespar/ids.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace snipespar::claims {

/// Limits of one journal.
struct journal_limits {
    /// How long a key is kept.
    std::chrono::milliseconds retention = std::chrono::hours(1);
    /// Maximum duration of a claimer's call. A claim without an outcome is `in progress` until then
    /// and `outcome unknown` after it.
    std::chrono::milliseconds longest_call = std::chrono::minutes(5);
    /// Burst of commits, and their sustained rate.
    double commit_burst = 4;
    double commits_per_s = 3;
    /// Maximum time that an outcome waits for claims to share its commit.
    duration outcome_delay = std::chrono::milliseconds(200);
    /// Size of the page's records above which they are sealed into a segment.
    std::size_t seal_bytes = std::size_t{16} * 1024;
    /// Size of the added records at which a commit takes no more.
    std::size_t commit_bytes = std::size_t{256} * 1024;
    /// Maximum number of claims, and of outcomes, that wait for a commit.
    std::size_t max_pending = 4096;
    /// Age of the known page above which it is reread before an answer that may have changed.
    duration max_page_age = std::chrono::seconds(1);
    /// Backoff after a failed operation; doubles up to the maximum.
    duration first_backoff = std::chrono::milliseconds(100);
    duration max_backoff = std::chrono::seconds(5);
    /// Retry delay while a call with the same key runs, and the minimum one after a refusal.
    duration retry_after = std::chrono::seconds(1);

    friend bool operator==(const journal_limits&, const journal_limits&) = default;
};

/// State of a journal, for reports.
struct journal_report {
    std::uint64_t page_version = 0;
    std::size_t keys = 0;
    std::size_t segments = 0;
    std::size_t pending_claims = 0;
    std::size_t pending_outcomes = 0;
    bool synchronized = false;
    std::uint32_t failures = 0;

    friend bool operator==(const journal_report&, const journal_report&) = default;
};

/// One entry's access to the claims of one partition, which any entry may access at any time.
///
/// Claims and outcomes are committed in groups by a conditional update of the partition's page, so
/// of several writers only one succeeds and the others reread the page. A claim is granted only
/// when its record is known to be in the journal; a write whose response was lost is looked up by
/// the claim's nonce. During a platform outage, claims that need a write are refused immediately.
class claim_journal {
public:
    claim_journal(std::uint32_t partition, incarnation self, journal_limits limits);

    /// Requests a claim. It is answered by exactly one answer_claim, unless the same nonce is
    /// requested again in the meantime, which shares the answer.
    journal_actions claim(const claim_request& request, const instant& now);

    /// Records how a claim ended. A waiting claim of the same nonce is refused.
    journal_actions record_outcome(const claim_outcome& outcome, const instant& now);

    journal_actions on_read(operation_id operation, const read_result& result, const instant& now);
    journal_actions on_write(operation_id operation, const write_result& result,
                             const instant& now);

    /// Resumes work that is due; to be called at next_tick() or later.
    journal_actions on_tick(const instant& now);
    time_point next_tick() const;

    /// Whether no work is outstanding, so that the journal can be dropped from memory.
    bool idle() const;

    journal_report report() const;

private:
    struct pending_outcome {
        claim_outcome outcome;
        time_point since;
    };
    enum class operation_kind { none, read_page, read_segment, read_slot, write_segment, commit };
    struct running_operation {
        operation_kind kind = operation_kind::none;
        operation_id id = 0;
        std::uint32_t slot = 0;
        std::uint64_t version = 0;
        /// The page that a commit writes, the records that it adds, and the claims and outcomes
        /// that it settles.
        journal_page page;
        std::vector<journal_record> added;
        std::vector<claim_nonce> claims;
        std::vector<claim_nonce> outcomes;
    };
    struct batch;

    void advance(const instant& now, journal_actions& actions);
    bool start_reading(journal_actions& actions);
    bool start_sealing(journal_actions& actions);
    void start_commit(const instant& now, journal_actions& actions);
    bool commit_due(time_point now) const;
    time_point commit_due_at() const;
    journal_page next_page(wall_time wall) const;
    void answer_known(const instant& now, journal_actions& actions);
    void stage_outcomes(batch& next, wall_time wall) const;
    void stage_claims(batch& next, wall_time wall) const;

    std::optional<claim_decision> decide(const claim_request& request, wall_time wall) const;
    std::optional<journal_record> current_record(const digest& key, wall_time wall) const;
    bool needs_reread(const claim_decision& decision, time_point now) const;

    void apply_page(const read_result& result, const instant& now, journal_actions& actions);
    void apply_segment(const read_result& result, const instant& now, journal_actions& actions);
    void apply_slot(const read_result& result);
    void finish_commit(const running_operation& done, const write_result& result,
                       const instant& now, journal_actions& actions);
    void finish_segment(const running_operation& done, const write_result& result,
                        const instant& now, journal_actions& actions);
    void rebuild_index();
    void discard_unused_segments();
    bool page_full() const;
    const segment_ref* missing_segment() const;
    bool holds_reservation() const;
    void require_reread();

    void handle_failure(const instant& now, journal_actions& actions);
    void refuse_overdue(const instant& now, journal_actions& actions);
    void record_settled(const claim_nonce& nonce);
    void answer(const claim_nonce& nonce, const claim_decision& decision, journal_actions& actions);
    void refuse(const claim_nonce& nonce, time_point now, journal_actions& actions);
    operation_id begin(operation_kind kind, std::uint32_t slot = 0);
    void refill_commits(time_point now);
    bool in_backoff(time_point now) const;

    std::uint32_t partition_;
    incarnation self_;
    journal_limits limits_;

    journal_page page_;
    std::uint64_t page_version_ = 0;
    bool synchronized_ = false;
    time_point page_read_at_{};
    /// Segments that were read, by slot and version.
    std::map<std::pair<std::uint32_t, std::uint64_t>, std::vector<journal_record>> segments_;
    /// The reservation that the next commit makes.
    std::optional<seal_reservation> next_reservation_;
    /// A reservation whose slot was changed by another writer.
    std::optional<seal_reservation> abandoned_reservation_;
    /// Set once the reserved slot holds the page's records.
    std::optional<segment_ref> written_segment_;
    claim_index index_;

    std::map<claim_nonce, claim_request> claims_;
    std::map<claim_nonce, pending_outcome> outcomes_;
    /// Waiting claims that were part of a write whose response was lost.
    std::set<claim_nonce> possibly_written_;
    /// Recently settled claims, oldest first, so that a duplicate or late message makes no claim
    /// that no caller waits for.
    std::set<claim_nonce> settled_;
    std::deque<claim_nonce> settled_order_;
    running_operation running_;
    operation_id last_operation_ = 0;

    double commits_left_;
    time_point commits_refilled_{};
    std::uint32_t failures_ = 0;
    time_point backoff_until_{};
};

} // namespace snipespar::claims
