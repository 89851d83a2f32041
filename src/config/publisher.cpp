#include "config/publisher.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace snipespar::config {

namespace {

// Races that are lost before a change is given up; each means that another change was accepted.
constexpr unsigned max_rounds = 100;
constexpr unsigned max_settle_tries = 5;

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
    case step::settle:
        return on_settled(reply);
    case step::erase:
        return erase_next();
    }
}

void publisher::start_over()
{
    if (++rounds_ > max_rounds) {
        return fail(absl::AbortedError("other changes were accepted first each time"));
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
    if (is_own(base_)) {
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
        // A newer version may have been accepted and this part erased since the root was read.
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

// The revisions listed before the root is replaced are those that may be erased after it: a writer
// that needs one of these parts for a later version has written it anew by then.
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
    // A lost answer, or a race lost perhaps against this very change: the root tells which.
    step_ = step::settle;
    settle_tries_ = 0;
    next_ = store::get_object{root_key(environment_)};
}

void publisher::on_settled(const store::object_reply& reply)
{
    if (!reply.status.ok() && !absl::IsNotFound(reply.status)) {
        if (++settle_tries_ >= max_settle_tries) {
            return fail(absl::UnknownError("the change may have been accepted; see `status`"));
        }
        next_ = store::get_object{root_key(environment_)};
        return;
    }
    if (reply.status.ok()) {
        const auto current = decode_root(reply.objects.front().value);
        if (current.ok() && is_own(*current)) {
            // Later changes may stand on top; at least the version written here was accepted.
            return accepted(target_.version);
        }
        if (current.ok() && current->version >= target_.version + max_root_writers) {
            return fail(absl::UnknownError("too many changes since; see `status`"));
        }
    }
    const auto revision = reply.status.ok() ? reply.objects.front().revision : 0;
    if (revision == base_revision_) {
        // Not there yet. The lost write can still arrive, but only one of the two can succeed.
        step_ = step::write_root;
        if (++rounds_ > max_rounds) {
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

bool publisher::is_own(const root& value) const
{
    return std::ranges::find(value.writers, nonce_) != value.writers.end();
}

} // namespace snipespar::config
