#include "claims/claim_service.h"

#include "base/stable_hash.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

namespace snipespar::claims {

namespace {

// Joins strings so that different lists never produce the same bytes.
std::string joined(std::initializer_list<std::string_view> parts)
{
    std::string bytes;
    for (const auto part : parts) {
        bytes += std::to_string(part.size());
        bytes += ':';
        bytes += part;
    }
    return bytes;
}

template <class... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};

// Whether the journal contains the claim after this decision, or may contain it.
bool leaves_claim(const claim_decision& decision)
{
    const auto* refusal = std::get_if<claim_refused>(&decision);
    const bool may_be_written = refusal != nullptr && refusal->may_be_written;
    return may_be_written || std::holds_alternative<claim_granted>(decision);
}

record_kind kind_of(run_state ran, bool has_answer)
{
    if (ran == run_state::not_run) {
        return record_kind::released;
    }
    return ran == run_state::ran && has_answer ? record_kind::finished : record_kind::unknown;
}

} // namespace

digest scoped_key(const team_id& team, const route_id& route, std::string_view key)
{
    return digest_of(joined({team.str(), route.str(), key}));
}

digest request_fingerprint(std::string_view method, std::string_view target, std::string_view body)
{
    return digest_of(joined({method, target, body}));
}

claim_service::claim_service(incarnation self, claim_limits limits)
    : self_(std::move(self)), limits_(limits)
{
    assert(limits_.partitions > 0);
}

service_actions claim_service::set_peers(const std::set<host_id>& peers, const instant& now)
{
    service_actions actions;
    peers_ = peers;
    for (auto& [nonce, claim] : claims_) {
        if (claim.owner && !peers_.contains(*claim.owner)) {
            claim.forward_deadline = now.steady;
        }
    }
    handle_owner_timeouts(now, actions);
    return actions;
}

begun_claim claim_service::begin(const digest& key, const digest& fingerprint, const instant& now)
{
    begun_claim begun;
    begun.nonce = {self_, ++last_number_};
    own_claim claim;
    claim.request = {key, begun.nonce, fingerprint, now.steady + limits_.claim_timeout};
    claim.forward_deadline = now.steady + limits_.forward_timeout;
    claim.owner = owner_of(partition_of(key));
    own_claim& stored = claims_.emplace(begun.nonce, std::move(claim)).first->second;
    if (!stored.owner) {
        claim_locally(stored, now, begun.actions);
        return begun;
    }
    stored.may_be_written = true;
    begun.actions.emplace_back(send_claim_message{
        *stored.owner, forwarded_claim{key, begun.nonce, fingerprint, limits_.claim_timeout}});
    return begun;
}

service_actions claim_service::finish(const claim_nonce& nonce, run_state ran,
                                      std::optional<recorded_answer> answer, const instant& now)
{
    service_actions actions;
    const auto it = claims_.find(nonce);
    if (it == claims_.end() || !it->second.granted) {
        return actions;
    }
    const claim_request request = it->second.request;
    claims_.erase(it);
    const record_kind kind = kind_of(ran, answer.has_value());
    if (kind == record_kind::released) {
        record_abandoned(request);
    }
    if (kind != record_kind::finished) {
        answer.reset();
    }
    record({request.key, nonce, request.fingerprint, kind, std::move(answer)}, now, actions);
    return actions;
}

service_actions claim_service::on_message(const host_id& from, const claim_message& message,
                                          const instant& now)
{
    service_actions actions;
    const auto handle = overloaded{
        [&](const forwarded_claim& item) {
            if (item.nonce.claimer.host != from) {
                return;
            }
            const std::uint32_t partition = partition_of(item.key);
            const claim_request request{item.key, item.nonce, item.fingerprint,
                                        now.steady + item.remaining};
            apply_actions(journal(partition).claim(request, now), now, actions);
        },
        [&](const claim_reply& item) { handle_reply(from, item, now, actions); },
        [&](const reply_receipt& item) { sent_replies_.erase(item.nonce); },
        [&](const forwarded_outcome& item) {
            if (item.outcome.nonce.claimer.host != from) {
                return;
            }
            const std::uint32_t partition = partition_of(item.outcome.key);
            apply_actions(journal(partition).record_outcome(item.outcome, now), now, actions);
        },
        [&](const outcome_reply& item) { outcomes_.erase(item.nonce); },
    };
    std::visit(handle, message);
    return actions;
}

service_actions claim_service::on_read(std::uint32_t partition, operation_id operation,
                                       const read_result& result, const instant& now)
{
    service_actions actions;
    const auto it = journals_.find(partition);
    if (it != journals_.end()) {
        apply_actions(it->second.on_read(operation, result, now), now, actions);
    }
    return actions;
}

service_actions claim_service::on_write(std::uint32_t partition, operation_id operation,
                                        const write_result& result, const instant& now)
{
    service_actions actions;
    const auto it = journals_.find(partition);
    if (it != journals_.end()) {
        apply_actions(it->second.on_write(operation, result, now), now, actions);
    }
    return actions;
}

service_actions claim_service::on_tick(const instant& now)
{
    service_actions actions;
    std::vector<std::uint32_t> partitions;
    partitions.reserve(journals_.size());
    for (const auto& [partition, stored_journal] : journals_) {
        partitions.push_back(partition);
    }
    for (const auto partition : partitions) {
        apply_actions(journal(partition).on_tick(now), now, actions);
    }
    handle_owner_timeouts(now, actions);
    refuse_overdue(now, actions);
    resend_replies(now, actions);
    drop_idle_journals();
    return actions;
}

time_point claim_service::next_tick() const
{
    time_point next = time_point::max();
    for (const auto& [partition, stored_journal] : journals_) {
        next = std::min(next, stored_journal.next_tick());
    }
    for (const auto& [nonce, claim] : claims_) {
        if (!claim.granted) {
            next = std::min(next, claim.owner ? claim.forward_deadline : claim.request.deadline);
        }
    }
    for (const auto& [nonce, sent] : sent_replies_) {
        next = std::min(next, sent.resend_at);
    }
    for (const auto& [nonce, outcome] : outcomes_) {
        next = std::min(next, outcome.forward_deadline);
    }
    return next;
}

std::size_t claim_service::keys() const
{
    std::size_t count = 0;
    for (const auto& [partition, stored_journal] : journals_) {
        count += stored_journal.report().keys;
    }
    return count;
}

std::uint32_t claim_service::partition_of(const digest& key) const
{
    return static_cast<std::uint32_t>(key.high % limits_.partitions);
}

// The entry that commits a partition's claims; empty if it is this one.
std::optional<host_id> claim_service::owner_of(std::uint32_t partition) const
{
    const std::uint64_t key = stable_hash(std::to_string(partition));
    const auto score = [&](const host_id& host) {
        return rendezvous_score(key, stable_hash(host.str()), 1.0);
    };
    double best = score(self_.host);
    std::optional<host_id> owner;
    for (const auto& peer : peers_) {
        const double other = score(peer);
        if (other > best) {
            best = other;
            owner = peer;
        }
    }
    return owner;
}

claim_journal& claim_service::journal(std::uint32_t partition)
{
    return journals_.try_emplace(partition, partition, self_, limits_.journal).first->second;
}

void claim_service::claim_locally(own_claim& claim, const instant& now, service_actions& actions)
{
    claim.owner.reset();
    const claim_request request = claim.request;
    const std::uint32_t partition = partition_of(request.key);
    apply_actions(journal(partition).claim(request, now), now, actions);
}

// Forwards a journal's actions, and delivers its answers here or to the entry that requested them.
void claim_service::apply_actions(journal_actions from, const instant& now,
                                  service_actions& actions)
{
    const auto handle = overloaded{
        [&](read_object& item) { actions.emplace_back(std::move(item)); },
        [&](write_object& item) { actions.emplace_back(std::move(item)); },
        [&](answer_claim& item) {
            if (is_own(item.nonce)) {
                answer(item.nonce, item.decision, false, now, actions);
                return;
            }
            reply(item.nonce, std::move(item.decision), now, actions);
        },
        [&](confirm_outcome& item) {
            if (is_own(item.nonce)) {
                outcomes_.erase(item.nonce);
                return;
            }
            actions.emplace_back(
                send_claim_message{item.nonce.claimer.host, outcome_reply{item.nonce}});
        },
    };
    for (auto& action : from) {
        std::visit(handle, action);
    }
}

void claim_service::reply(const claim_nonce& nonce, claim_decision decision, const instant& now,
                          service_actions& actions)
{
    if (leaves_claim(decision)) {
        sent_replies_[nonce] = {decision, now.steady + limits_.reply_interval, 0};
    }
    actions.emplace_back(
        send_claim_message{nonce.claimer.host, claim_reply{nonce, std::move(decision)}});
}

void claim_service::handle_reply(const host_id& from, const claim_reply& item, const instant& now,
                                 service_actions& actions)
{
    if (leaves_claim(item.decision)) {
        actions.emplace_back(send_claim_message{from, reply_receipt{item.nonce}});
    }
    if (is_own(item.nonce)) {
        answer(item.nonce, item.decision, true, now, actions);
    }
}

void claim_service::resend_replies(const instant& now, service_actions& actions)
{
    for (auto& [nonce, sent] : sent_replies_) {
        if (sent.resend_at <= now.steady) {
            sent.resend_at = now.steady + limits_.reply_interval;
            ++sent.resends;
            actions.emplace_back(
                send_claim_message{nonce.claimer.host, claim_reply{nonce, sent.decision}});
        }
    }
    std::erase_if(sent_replies_, [&](const auto& item) {
        return item.second.resends >= limits_.max_reply_resends;
    });
}

// Settles a claim of this entry. If the owner refuses it, this entry writes the journal itself.
void claim_service::answer(const claim_nonce& nonce, const claim_decision& decision,
                           bool from_owner, const instant& now, service_actions& actions)
{
    const auto it = claims_.find(nonce);
    if (it == claims_.end()) {
        release_if_written(nonce, decision, now, actions);
        return;
    }
    own_claim& claim = it->second;
    const auto* refusal = std::get_if<claim_refused>(&decision);
    if (claim.granted || (refusal != nullptr && from_owner && !claim.owner)) {
        return;
    }
    if (from_owner) {
        claim.may_be_written = refusal != nullptr && refusal->may_be_written;
    }
    if (from_owner && refusal != nullptr) {
        claim_locally(claim, now, actions);
        return;
    }
    const bool possibly_written = refusal != nullptr && refusal->may_be_written;
    claim.may_be_written = claim.may_be_written || possibly_written;
    decide(nonce, decision, now, actions);
}

// Releases the key of an abandoned claim that was, or may have been, written to the journal.
void claim_service::release_if_written(const claim_nonce& nonce, const claim_decision& decision,
                                       const instant& now, service_actions& actions)
{
    const auto abandoned = abandoned_.find(nonce);
    if (abandoned == abandoned_.end()) {
        return;
    }
    if (leaves_claim(decision)) {
        release(abandoned->second, now, actions);
    }
}

void claim_service::decide(const claim_nonce& nonce, const claim_decision& decision,
                           const instant& now, service_actions& actions)
{
    const auto it = claims_.find(nonce);
    assert(it != claims_.end() && !it->second.granted);
    actions.emplace_back(claim_decided{nonce, decision});
    if (std::holds_alternative<claim_granted>(decision)) {
        it->second.granted = true;
        return;
    }
    const own_claim claim = it->second;
    claims_.erase(it);
    record_abandoned(claim.request);
    if (claim.may_be_written) {
        release(claim.request, now, actions);
    }
}

// Records the release of an abandoned claim.
void claim_service::release(const claim_request& request, const instant& now,
                            service_actions& actions)
{
    record({request.key, request.nonce, request.fingerprint, record_kind::released, std::nullopt},
           now, actions);
}

void claim_service::record(const claim_outcome& outcome, const instant& now,
                           service_actions& actions)
{
    if (outcomes_.contains(outcome.nonce)) {
        return;
    }
    if (outcomes_.size() >= limits_.max_outcomes) {
        ++dropped_outcomes_;
        return;
    }
    const auto owner = owner_of(partition_of(outcome.key));
    own_outcome& stored =
        outcomes_.emplace(outcome.nonce, own_outcome{outcome, now.steady + limits_.outcome_timeout})
            .first->second;
    if (!owner) {
        record_locally(stored, now, actions);
        return;
    }
    actions.emplace_back(send_claim_message{*owner, forwarded_outcome{outcome}});
}

void claim_service::record_locally(own_outcome& outcome, const instant& now,
                                   service_actions& actions)
{
    outcome.forward_deadline = now.steady + limits_.outcome_timeout;
    const claim_outcome copy = outcome.outcome;
    const std::uint32_t partition = partition_of(copy.key);
    apply_actions(journal(partition).record_outcome(copy, now), now, actions);
}

// Writes the journals locally for claims and outcomes whose owner has not answered in time.
void claim_service::handle_owner_timeouts(const instant& now, service_actions& actions)
{
    std::vector<claim_nonce> late_claims;
    for (const auto& [nonce, claim] : claims_) {
        if (!claim.granted && claim.owner && claim.forward_deadline <= now.steady) {
            late_claims.push_back(nonce);
        }
    }
    for (const auto& nonce : late_claims) {
        claim_locally(claims_.at(nonce), now, actions);
    }
    std::vector<claim_nonce> late_outcomes;
    for (const auto& [nonce, outcome] : outcomes_) {
        if (outcome.forward_deadline <= now.steady) {
            late_outcomes.push_back(nonce);
        }
    }
    for (const auto& nonce : late_outcomes) {
        record_locally(outcomes_.at(nonce), now, actions);
    }
}

void claim_service::refuse_overdue(const instant& now, service_actions& actions)
{
    std::vector<claim_nonce> overdue;
    for (const auto& [nonce, claim] : claims_) {
        if (!claim.granted && claim.request.deadline <= now.steady) {
            overdue.push_back(nonce);
        }
    }
    for (const auto& nonce : overdue) {
        claims_.at(nonce).may_be_written = true;
        decide(nonce, claim_refused{limits_.journal.retry_after, true}, now, actions);
    }
}

void claim_service::record_abandoned(const claim_request& request)
{
    abandoned_.insert_or_assign(request.nonce, request);
    if (abandoned_.size() > limits_.max_outcomes) {
        abandoned_.erase(abandoned_.begin());
    }
}

// Keeps the journals of owned partitions, whose index avoids rereading them.
void claim_service::drop_idle_journals()
{
    std::erase_if(journals_, [&](const auto& item) {
        return item.second.idle() && owner_of(item.first).has_value();
    });
}

} // namespace snipespar::claims
