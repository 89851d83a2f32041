#include "config/publisher.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace snipespar::config {

namespace {

// Attempts before a change fails; each lost one means that another change was accepted.
constexpr unsigned max_attempts = 100;
constexpr unsigned max_verify_tries = 5;

bool refers_to(const root& value, const std::string& sha256)
{
    return std::ranges::find(value.parts, sha256, &part_ref::sha256) != value.parts.end();
}

} // namespace

publisher::publisher(std::string environment, std::string nonce, change_function change,
                     std::size_t max_part_bytes)
    : environment_(std::move(environment)), nonce_(std::move(nonce)), change_(std::move(change)),
      max_part_bytes_(max_part_bytes)
{
    start_over();
}

void publisher::on_reply(store::object_reply reply)
{
    assert(next_);
    next_.reset();
    switch (step_) {
    case step::read_root:
        return on_root(reply);
    case step::read_part:
        return on_part(reply);
    case step::list_parts:
        return on_list(reply);
    case step::write_part:
        return on_part_written(reply);
    case step::write_root:
        return on_root_written(reply);
    case step::verify_root:
        return on_root_verified(reply);
    case step::erase:
        return erase_next();
    }
}

void publisher::start_over()
{
    if (++attempts_ > max_attempts) {
        return fail(absl::AbortedError("other changes were accepted first on every attempt"));
    }
    base_ = root{};
    base_revision_ = 0;
    listed_.clear();
    step_ = step::read_root;
    next_ = store::get_object{root_key(environment_)};
}

void publisher::on_root(const store::object_reply& reply)
{
    if (absl::IsNotFound(reply.status)) {
        return build();
    }
    if (!reply.status.ok()) {
        return fail(reply.status);
    }
    auto decoded = decode_root(reply.objects.front().value);
    if (!decoded.ok()) {
        return fail(decoded.status());
    }
    base_ = std::move(*decoded);
    base_revision_ = reply.objects.front().revision;
    if (contains_own_nonce(base_)) {
        return accepted(base_.version);
    }
    read_next_part();
}

void publisher::read_next_part()
{
    for (const auto& ref : base_.parts) {
        if (!base_parts_.contains(ref.sha256)) {
            step_ = step::read_part;
            next_ = store::get_object{part_key(environment_, ref.sha256)};
            return;
        }
    }
    build();
}

void publisher::on_part(store::object_reply& reply)
{
    if (absl::IsNotFound(reply.status)) {
        // Since the root was read, a newer version may have been accepted and this part erased.
        return start_over();
    }
    if (!reply.status.ok()) {
        return fail(reply.status);
    }
    const auto key = reply.objects.front().key;
    base_parts_[key.substr(part_prefix(environment_).size())] =
        std::move(reply.objects.front().value);
    read_next_part();
}

void publisher::build()
{
    snapshot base;
    base.environment = environment_;
    if (base_.version != 0) {
        auto assembled = assemble(base_, base_parts_);
        if (!assembled.ok()) {
            return fail(assembled.status());
        }
        base = std::move(*assembled);
    }
    auto changed = change_(base);
    if (auto* problems = std::get_if<findings>(&changed)) {
        result_.problems = std::move(*problems);
        return;
    }
    auto stored = split(std::get<snapshot>(changed), max_part_bytes_);
    if (!stored.ok()) {
        return fail(stored.status());
    }
    target_ = root{base_.version + 1, environment_, std::move(stored->refs), base_.writers};
    target_.writers.push_back(nonce_);
    if (target_.writers.size() > max_root_writers) {
        target_.writers.erase(target_.writers.begin());
    }
    target_parts_ = std::move(stored->parts);
    step_ = step::list_parts;
    next_ = store::list_objects{part_prefix(environment_)};
}

// Only the revisions listed before the root is replaced may be erased afterwards: a writer that
// needs one of these parts for a later version has by then written it again, as a new revision.
void publisher::on_list(const store::object_reply& reply)
{
    listed_ = reply.status.ok() ? reply.objects : std::vector<store::object>{};
    to_write_.clear();
    for (const auto& [hash, bytes] : target_parts_) {
        if (!refers_to(base_, hash)) {
            to_write_.push_back(hash);
        }
    }
    write_next();
}

void publisher::write_next()
{
    if (to_write_.empty()) {
        step_ = step::write_root;
        next_ = store::put_object{root_key(environment_), encode(target_), base_revision_};
        return;
    }
    const auto& hash = to_write_.back();
    step_ = step::write_part;
    next_ = store::put_object{part_key(environment_, hash), target_parts_.at(hash), {}};
}

void publisher::on_part_written(const store::object_reply& reply)
{
    if (!reply.status.ok()) {
        return fail(absl::IsUnknown(reply.status) ? absl::UnavailableError(reply.status.message())
                                                  : reply.status);
    }
    to_write_.pop_back();
    write_next();
}

void publisher::on_root_written(const store::object_reply& reply)
{
    if (reply.status.ok()) {
        return accepted(target_.version);
    }
    if (!absl::IsUnknown(reply.status) && !absl::IsAborted(reply.status)) {
        return fail(reply.status);
    }
    // The response was lost, or the conflict may be with this very change: read the root to find
    // out.
    step_ = step::verify_root;
    verify_tries_ = 0;
    next_ = store::get_object{root_key(environment_)};
}

void publisher::on_root_verified(const store::object_reply& reply)
{
    if (!reply.status.ok() && !absl::IsNotFound(reply.status)) {
        if (++verify_tries_ >= max_verify_tries) {
            return fail(absl::UnknownError("the change may have been accepted; see `status`"));
        }
        next_ = store::get_object{root_key(environment_)};
        return;
    }
    if (reply.status.ok()) {
        const auto current = decode_root(reply.objects.front().value);
        if (current.ok() && contains_own_nonce(*current)) {
            // Later changes may have followed, but the version written here was accepted.
            return accepted(target_.version);
        }
        if (current.ok() && current->version >= target_.version + max_root_writers) {
            return fail(absl::UnknownError(
                "the change may have been accepted before many later ones; see `status`"));
        }
    }
    const auto revision = reply.status.ok() ? reply.objects.front().revision : 0;
    if (revision == base_revision_) {
        // Not written yet. The lost write may still arrive, but only one of the two can succeed.
        step_ = step::write_root;
        if (++attempts_ > max_attempts) {
            return fail(absl::UnknownError("the change may have been accepted; see `status`"));
        }
        next_ = store::put_object{root_key(environment_), encode(target_), base_revision_};
        return;
    }
    start_over();
}

void publisher::accepted(std::uint64_t version)
{
    result_.version = version;
    step_ = step::erase;
    erase_next();
}

void publisher::erase_next()
{
    while (!listed_.empty()) {
        const auto candidate = std::move(listed_.back());
        listed_.pop_back();
        const auto hash = candidate.key.substr(part_prefix(environment_).size());
        if (!refers_to(target_, hash)) {
            next_ = store::erase_object{candidate.key, candidate.revision};
            return;
        }
    }
}

void publisher::fail(absl::Status status)
{
    result_.status = std::move(status);
}

bool publisher::contains_own_nonce(const root& value) const
{
    return std::ranges::find(value.writers, nonce_) != value.writers.end();
}

} // namespace snipespar::config
