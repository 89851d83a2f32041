#include "claims/claim_journal.h"

#include <algorithm>
#include <cassert>
#include <unordered_map>
#include <utility>

namespace snipespar::claims {

namespace {

// Size of a record in a page, without the answer that it may carry.
constexpr std::size_t record_overhead_bytes = 200;
constexpr std::uint32_t max_backoff_doublings = 16;

std::size_t size_of(const journal_record& record)
{
    std::size_t size = record_overhead_bytes;
    if (record.answer) {
        size += record.answer->content_type.size();
        size += record.answer->body ? record.answer->body->size() : 0;
    }
    return size;
}

std::size_t size_of(const std::vector<journal_record>& records)
{
    std::size_t size = 0;
    for (const auto& record : records) {
        size += size_of(record);
    }
    return size;
}

wall_time latest(const std::vector<journal_record>& records)
{
    wall_time last{};
    for (const auto& record : records) {
        last = std::max(last, record.at);
    }
    return last;
}

journal_record record_of(const claim_outcome& outcome, wall_time at)
{
    return {outcome.key, outcome.nonce, outcome.kind, outcome.fingerprint, at, outcome.answer};
}

std::uint32_t free_slot(const journal_page& page)
{
    std::uint32_t slot = 0;
    const auto taken = [&](const segment_ref& ref) { return ref.slot == slot; };
    while (std::ranges::any_of(page.sealed, taken)) {
        ++slot;
    }
    return slot;
}

} // namespace

/// What the next commit adds, with the resulting record of each key.
struct claim_journal::batch {
    std::vector<journal_record> records;
    std::unordered_map<digest, journal_record> staged;
    std::vector<claim_nonce> claims;
    std::vector<claim_nonce> outcomes;
    std::size_t bytes = 0;

    void add(journal_record record)
    {
        bytes += size_of(record);
        staged.insert_or_assign(record.key, record);
        records.push_back(std::move(record));
    }
};

claim_journal::claim_journal(std::uint32_t partition, incarnation self, journal_limits limits)
    : partition_(partition), self_(std::move(self)), limits_(limits), index_(limits.retention),
      commits_left_(limits.commit_burst)
{
}

journal_actions claim_journal::claim(const claim_request& request, const instant& now)
{
    journal_actions actions;
    if (claims_.contains(request.nonce)) {
        return actions;
    }
    if (in_backoff(now.steady) || outcomes_.contains(request.nonce) ||
        settled_.contains(request.nonce) || claims_.size() >= limits_.max_pending) {
        if (const auto known = decide(request, now.wall)) {
            answer(request.nonce, *known, actions);
        }
        else {
            refuse(request.nonce, now.steady, actions);
        }
        return actions;
    }
    claims_.emplace(request.nonce, request);
    advance(now, actions);
    return actions;
}

journal_actions claim_journal::record_outcome(const claim_outcome& outcome, const instant& now)
{
    assert(outcome.kind != record_kind::claimed);
    journal_actions actions;
    if (claims_.erase(outcome.nonce) > 0) {
        refuse(outcome.nonce, now.steady, actions);
    }
    record_settled(outcome.nonce);
    if (outcomes_.size() >= limits_.max_pending) {
        return actions;
    }
    outcomes_.try_emplace(outcome.nonce, pending_outcome{outcome, now.steady});
    advance(now, actions);
    return actions;
}

journal_actions claim_journal::on_read(operation_id operation, const read_result& result,
                                       const instant& now)
{
    journal_actions actions;
    if (running_.kind == operation_kind::none || running_.id != operation) {
        return actions;
    }
    const operation_kind kind = running_.kind;
    if (result.status == read_status::unavailable) {
        handle_failure(now, actions);
    }
    else if (kind == operation_kind::read_page) {
        apply_page(result, now, actions);
    }
    else if (kind == operation_kind::read_segment) {
        apply_segment(result, now, actions);
    }
    else if (kind == operation_kind::read_slot) {
        apply_slot(result);
    }
    running_ = {};
    advance(now, actions);
    return actions;
}

journal_actions claim_journal::on_write(operation_id operation, const write_result& result,
                                        const instant& now)
{
    journal_actions actions;
    if (running_.kind == operation_kind::none || running_.id != operation) {
        return actions;
    }
    const running_operation done = std::exchange(running_, {});
    if (done.kind == operation_kind::commit) {
        finish_commit(done, result, now, actions);
    }
    else if (done.kind == operation_kind::write_segment) {
        finish_segment(done, result, now, actions);
    }
    advance(now, actions);
    return actions;
}

journal_actions claim_journal::on_tick(const instant& now)
{
    journal_actions actions;
    refuse_overdue(now, actions);
    advance(now, actions);
    return actions;
}

time_point claim_journal::next_tick() const
{
    time_point next = time_point::max();
    for (const auto& [nonce, request] : claims_) {
        next = std::min(next, request.deadline);
    }
    const bool waiting = running_.kind == operation_kind::none && !idle();
    return waiting ? std::min(next, std::max(backoff_until_, commit_due_at())) : next;
}

bool claim_journal::idle() const
{
    return claims_.empty() && outcomes_.empty() && running_.kind == operation_kind::none;
}

journal_report claim_journal::report() const
{
    return {page_version_, index_.size(), page_.sealed.size(), claims_.size(), outcomes_.size(),
            synchronized_, failures_};
}

void claim_journal::advance(const instant& now, journal_actions& actions)
{
    if (running_.kind != operation_kind::none || idle() || now.steady < backoff_until_) {
        return;
    }
    if (start_reading(actions)) {
        return;
    }
    answer_known(now, actions);
    if (!synchronized_) {
        start_reading(actions);
        return;
    }
    refill_commits(now.steady);
    if (!commit_due(now.steady) || start_sealing(actions)) {
        return;
    }
    start_commit(now, actions);
}

bool claim_journal::start_reading(journal_actions& actions)
{
    if (!synchronized_) {
        actions.emplace_back(
            read_object{begin(operation_kind::read_page), {partition_, std::nullopt}});
        return true;
    }
    if (const segment_ref* missing = missing_segment()) {
        const operation_id id = begin(operation_kind::read_segment, missing->slot);
        running_.version = missing->version;
        actions.emplace_back(read_object{id, {partition_, missing->slot}});
        return true;
    }
    return false;
}

// Sealing takes two commits. The first reserves a slot whose version has been read; then the page's
// records are written to the slot, and the second commit refers to them.
bool claim_journal::start_sealing(journal_actions& actions)
{
    if (holds_reservation() && !written_segment_) {
        const seal_reservation& reservation = *page_.reservation;
        const operation_id id = begin(operation_kind::write_segment, reservation.slot);
        actions.emplace_back(write_object{id,
                                          {partition_, reservation.slot},
                                          reservation.version,
                                          journal_segment{page_.records}});
        return true;
    }
    if (!holds_reservation() && page_full() && !next_reservation_) {
        const std::uint32_t slot = free_slot(page_);
        actions.emplace_back(
            read_object{begin(operation_kind::read_slot, slot), {partition_, slot}});
        return true;
    }
    return false;
}

void claim_journal::start_commit(const instant& now, journal_actions& actions)
{
    batch next;
    stage_outcomes(next, now.wall);
    stage_claims(next, now.wall);
    if (next.claims.empty() && next.outcomes.empty()) {
        return;
    }
    commits_left_ -= 1;
    const operation_id id = begin(operation_kind::commit);
    running_.page = next_page(now.wall);
    auto& records = running_.page.records;
    records.insert(records.end(), next.records.begin(), next.records.end());
    running_.added = std::move(next.records);
    running_.claims = std::move(next.claims);
    running_.outcomes = std::move(next.outcomes);
    actions.emplace_back(
        write_object{id, {partition_, std::nullopt}, page_version_, running_.page});
}

bool claim_journal::commit_due(time_point now) const
{
    return !idle() && commits_left_ >= 1 && commit_due_at() <= now;
}

time_point claim_journal::commit_due_at() const
{
    time_point due = time_point::max();
    if (!claims_.empty()) {
        due = commits_refilled_;
    }
    for (const auto& [nonce, outcome] : outcomes_) {
        due = std::min(due, outcome.since + limits_.outcome_delay);
    }
    const double missing = std::max(0.0, 1 - commits_left_) / limits_.commits_per_s;
    const auto refill =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(missing));
    const duration rounding(missing > 0 ? 1 : 0);
    return due == time_point::max() ? due : std::max(due, commits_refilled_ + refill + rounding);
}

journal_page claim_journal::next_page(wall_time wall) const
{
    journal_page page = page_;
    page.reservation = next_reservation_;
    if (written_segment_) {
        page.sealed.push_back(*written_segment_);
        page.records.clear();
    }
    std::erase_if(page.sealed, [&](const auto& ref) { return index_.expired(ref.last_at, wall); });
    std::erase_if(page.records, [&](const auto& item) { return index_.expired(item.at, wall); });
    return page;
}

// Answers the claims that need no write.
void claim_journal::answer_known(const instant& now, journal_actions& actions)
{
    for (auto it = claims_.begin(); it != claims_.end();) {
        const auto known = decide(it->second, now.wall);
        if (!known) {
            ++it;
        }
        else if (needs_reread(*known, now.steady)) {
            synchronized_ = false;
            ++it;
        }
        else {
            answer(it->first, *known, actions);
            it = claims_.erase(it);
        }
    }
}

// A commit settles an outcome even if it adds no record: the new version of the page makes every
// write of its claim that is still in flight fail.
void claim_journal::stage_outcomes(batch& next, wall_time wall) const
{
    for (const auto& [nonce, pending] : outcomes_) {
        if (next.bytes >= limits_.commit_bytes) {
            return;
        }
        const journal_record* current = index_.find(pending.outcome.key, wall);
        journal_record record = record_of(pending.outcome, wall);
        if (current != nullptr && supersedes(record, current)) {
            next.add(std::move(record));
        }
        next.outcomes.push_back(nonce);
    }
}

void claim_journal::stage_claims(batch& next, wall_time wall) const
{
    for (const auto& [nonce, request] : claims_) {
        if (next.bytes >= limits_.commit_bytes) {
            return;
        }
        const auto staged = next.staged.find(request.key);
        const bool released =
            staged != next.staged.end() && staged->second.kind == record_kind::released;
        if ((staged == next.staged.end() || released) && !decide(request, wall)) {
            next.add({request.key, nonce, record_kind::claimed, request.fingerprint, wall, {}});
            next.claims.push_back(nonce);
        }
    }
}

// Decides a claim from the known journal; empty if the claim has to be written.
std::optional<claim_decision> claim_journal::decide(const claim_request& request,
                                                    wall_time wall) const
{
    const auto current = current_record(request.key, wall);
    if (!current) {
        return std::nullopt;
    }
    const bool own = current->nonce == request.nonce;
    if (current->kind == record_kind::released) {
        return own ? std::optional<claim_decision>(claim_refused{limits_.retry_after, false})
                   : std::nullopt;
    }
    if (own && current->kind == record_kind::claimed) {
        return claim_granted{};
    }
    if (current->fingerprint != request.fingerprint) {
        return claim_mismatched{};
    }
    if (current->kind == record_kind::finished && current->answer) {
        return claim_replayed{*current->answer};
    }
    const bool may_be_running =
        current->kind == record_kind::claimed && wall < current->at + limits_.longest_call;
    if (may_be_running) {
        return claim_in_progress{limits_.retry_after};
    }
    return claim_outcome_unknown{};
}

// The current record of a key, including an outcome that still waits to be written.
std::optional<journal_record> claim_journal::current_record(const digest& key, wall_time wall) const
{
    const journal_record* current = index_.find(key, wall);
    if (current == nullptr) {
        return std::nullopt;
    }
    const auto waiting = outcomes_.find(current->nonce);
    if (waiting != outcomes_.end() && current->kind == record_kind::claimed) {
        return record_of(waiting->second.outcome, current->at);
    }
    return *current;
}

bool claim_journal::needs_reread(const claim_decision& decision, time_point now) const
{
    const bool may_change = std::holds_alternative<claim_in_progress>(decision) ||
                            std::holds_alternative<claim_mismatched>(decision) ||
                            std::holds_alternative<claim_outcome_unknown>(decision);
    return may_change && now - page_read_at_ > limits_.max_page_age;
}

void claim_journal::apply_page(const read_result& result, const instant& now,
                               journal_actions& actions)
{
    const bool found = result.status == read_status::found;
    if (found && (!result.value || !std::holds_alternative<journal_page>(*result.value))) {
        handle_failure(now, actions);
        return;
    }
    page_ = found ? std::get<journal_page>(*result.value) : journal_page{};
    page_version_ = found ? result.version : 0;
    page_read_at_ = now.steady;
    synchronized_ = true;
    failures_ = 0;
    next_reservation_.reset();
    written_segment_.reset();
    discard_unused_segments();
    rebuild_index();
}

void claim_journal::apply_segment(const read_result& result, const instant& now,
                                  journal_actions& actions)
{
    const bool usable = result.status == read_status::found && result.value &&
                        result.version == running_.version &&
                        std::holds_alternative<journal_segment>(*result.value);
    if (!usable) {
        synchronized_ = false;
        handle_failure(now, actions);
        return;
    }
    failures_ = 0;
    segments_[{running_.slot, running_.version}] = std::get<journal_segment>(*result.value).records;
    rebuild_index();
}

void claim_journal::apply_slot(const read_result& result)
{
    failures_ = 0;
    const std::uint64_t version = result.status == read_status::found ? result.version : 0;
    next_reservation_ = seal_reservation{running_.slot, version, self_};
}

void claim_journal::finish_commit(const running_operation& done, const write_result& result,
                                  const instant& now, journal_actions& actions)
{
    switch (result.status) {
    case write_status::unknown:
        possibly_written_.insert(done.claims.begin(), done.claims.end());
        require_reread();
        return;
    case write_status::conflict:
        require_reread();
        return;
    case write_status::unavailable:
        handle_failure(now, actions);
        return;
    case write_status::written:
        break;
    }
    failures_ = 0;
    page_ = done.page;
    page_version_ = result.version;
    page_read_at_ = now.steady;
    next_reservation_.reset();
    written_segment_.reset();
    index_.apply(done.added);
    index_.discard_expired(now.wall);
    discard_unused_segments();
    for (const auto& nonce : done.claims) {
        if (claims_.erase(nonce) > 0) {
            answer(nonce, claim_granted{}, actions);
        }
    }
    for (const auto& nonce : done.outcomes) {
        outcomes_.erase(nonce);
        actions.emplace_back(confirm_outcome{nonce});
    }
}

void claim_journal::finish_segment(const running_operation& done, const write_result& result,
                                   const instant& now, journal_actions& actions)
{
    if (result.status == write_status::unavailable) {
        handle_failure(now, actions);
        return;
    }
    if (result.status != write_status::written) {
        abandoned_reservation_ = page_.reservation;
        require_reread();
        return;
    }
    failures_ = 0;
    written_segment_ = segment_ref{done.slot, result.version, latest(page_.records)};
    segments_[{done.slot, result.version}] = page_.records;
}

void claim_journal::discard_unused_segments()
{
    std::erase_if(segments_, [&](const auto& item) {
        return std::ranges::none_of(page_.sealed, [&](const segment_ref& ref) {
            return ref.slot == item.first.first && ref.version == item.first.second;
        });
    });
}

bool claim_journal::page_full() const
{
    return size_of(page_.records) > limits_.seal_bytes;
}

void claim_journal::rebuild_index()
{
    if (missing_segment() != nullptr) {
        return;
    }
    index_.clear();
    for (const auto& ref : page_.sealed) {
        index_.apply(segments_.at({ref.slot, ref.version}));
    }
    index_.apply(page_.records);
}

const segment_ref* claim_journal::missing_segment() const
{
    for (const auto& ref : page_.sealed) {
        if (!segments_.contains({ref.slot, ref.version})) {
            return &ref;
        }
    }
    return nullptr;
}

bool claim_journal::holds_reservation() const
{
    return page_.reservation && page_.reservation->writer == self_ &&
           page_.reservation != abandoned_reservation_;
}

void claim_journal::require_reread()
{
    synchronized_ = false;
    next_reservation_.reset();
    written_segment_.reset();
}

// Immediately refuses the claims that need the platform, and starts the backoff.
void claim_journal::handle_failure(const instant& now, journal_actions& actions)
{
    const std::uint32_t doublings = std::min(failures_, max_backoff_doublings);
    const duration backoff =
        std::min<duration>(limits_.first_backoff * (1U << doublings), limits_.max_backoff);
    ++failures_;
    backoff_until_ = now.steady + backoff;
    for (const auto& [nonce, request] : claims_) {
        if (const auto known = decide(request, now.wall)) {
            answer(nonce, *known, actions);
        }
        else {
            refuse(nonce, now.steady, actions);
        }
    }
    claims_.clear();
}

void claim_journal::refuse_overdue(const instant& now, journal_actions& actions)
{
    std::erase_if(claims_, [&](const auto& item) {
        const bool overdue = item.second.deadline <= now.steady;
        if (overdue) {
            refuse(item.first, now.steady, actions);
        }
        return overdue;
    });
}

void claim_journal::answer(const claim_nonce& nonce, const claim_decision& decision,
                           journal_actions& actions)
{
    possibly_written_.erase(nonce);
    if (!std::holds_alternative<claim_granted>(decision)) {
        record_settled(nonce);
    }
    actions.emplace_back(answer_claim{nonce, decision});
}

void claim_journal::record_settled(const claim_nonce& nonce)
{
    if (!settled_.insert(nonce).second) {
        return;
    }
    settled_order_.push_back(nonce);
    if (settled_order_.size() > limits_.max_pending) {
        settled_.erase(settled_order_.front());
        settled_order_.pop_front();
    }
}

void claim_journal::refuse(const claim_nonce& nonce, time_point now, journal_actions& actions)
{
    const duration wait = std::max<duration>(limits_.retry_after, backoff_until_ - now);
    const bool in_flight = std::ranges::find(running_.claims, nonce) != running_.claims.end();
    const bool may_be_written = in_flight || possibly_written_.contains(nonce);
    answer(nonce, claim_refused{wait, may_be_written}, actions);
}

operation_id claim_journal::begin(operation_kind kind, std::uint32_t slot)
{
    running_ = {};
    running_.kind = kind;
    running_.slot = slot;
    running_.id = ++last_operation_;
    return running_.id;
}

void claim_journal::refill_commits(time_point now)
{
    const double seconds = std::chrono::duration<double>(now - commits_refilled_).count();
    const double earned = std::max(0.0, seconds) * limits_.commits_per_s;
    commits_left_ = std::min(limits_.commit_burst, commits_left_ + earned);
    commits_refilled_ = std::max(commits_refilled_, now);
}

bool claim_journal::in_backoff(time_point now) const
{
    return failures_ > 0 && now < backoff_until_;
}

} // namespace snipespar::claims
