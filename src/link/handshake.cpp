#include "link/handshake.h"

#include "base/digest.h"
#include "link/frame.h"

#include <absl/strings/str_cat.h>
#include <utility>

namespace snipespar::link {

namespace {

constexpr std::string_view listener_side = "listener";
constexpr std::string_view connector_side = "connector";
constexpr std::size_t min_nonce_bytes = 16;

absl::Status check_protocol(std::uint32_t version)
{
    if (version != protocol_version) {
        return absl::FailedPreconditionError(
            absl::StrCat("link protocol ", version, " is not ", protocol_version));
    }
    return absl::OkStatus();
}

// Prefixes each part with its length, so that no two lists of parts give the same bytes.
void append_part(std::string& message, std::string_view part)
{
    message += std::to_string(part.size());
    message += ':';
    message += part;
}

} // namespace

handshake::handshake(secret fleet_secret, peer self, std::string nonce)
    : fleet_secret_(std::move(fleet_secret)), self_(std::move(self)), nonce_(std::move(nonce))
{
}

challenge handshake::make_challenge() const
{
    return {protocol_version, nonce_};
}

absl::StatusOr<welcome> handshake::accept(const credentials& answer)
{
    if (absl::Status status = check_protocol(answer.protocol); !status.ok()) {
        return status;
    }
    const peer prover{answer.sender_role, answer.sender};
    remote_nonce_ = answer.nonce;
    const auto expected = proof(connector_side, prover, remote_nonce_ + nonce_);
    if (answer.nonce.size() < min_nonce_bytes || !equal_in_constant_time(answer.proof, expected)) {
        return absl::PermissionDeniedError("wrong fleet secret");
    }
    remote_ = prover;
    return welcome{self_.process_role, self_.process,
                   proof(listener_side, self_, nonce_ + remote_nonce_)};
}

absl::StatusOr<credentials> handshake::answer(const challenge& question)
{
    if (absl::Status status = check_protocol(question.protocol); !status.ok()) {
        return status;
    }
    if (question.nonce.size() < min_nonce_bytes) {
        return absl::PermissionDeniedError("challenge is too short");
    }
    remote_nonce_ = question.nonce;
    return credentials{protocol_version, self_.process_role, self_.process, nonce_,
                       proof(connector_side, self_, nonce_ + remote_nonce_)};
}

absl::Status handshake::finish(const welcome& last)
{
    const peer prover{last.sender_role, last.sender};
    const auto expected = proof(listener_side, prover, remote_nonce_ + nonce_);
    if (remote_nonce_.empty() || !equal_in_constant_time(last.proof, expected)) {
        return absl::PermissionDeniedError("listener does not hold the fleet secret");
    }
    remote_ = prover;
    return absl::OkStatus();
}

std::string handshake::proof(std::string_view side, const peer& prover,
                             const std::string& nonces) const
{
    std::string message;
    append_part(message, side);
    append_part(message, nonces);
    append_part(message, absl::StrCat(static_cast<int>(prover.process_role)));
    append_part(message, prover.process.host.str());
    append_part(message, absl::StrCat(prover.process.start));
    return hmac_sha256(fleet_secret_, message);
}

} // namespace snipespar::link
