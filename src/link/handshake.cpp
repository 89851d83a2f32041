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
            absl::StrCat("link protocol version ", version, " is not ", protocol_version));
    }
    return absl::OkStatus();
}

// Prefixes each part with its length, so that different lists of parts never give the same bytes.
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

absl::StatusOr<welcome> handshake::accept(const credentials& received_credentials)
{
    if (absl::Status status = check_protocol(received_credentials.protocol); !status.ok()) {
        return status;
    }
    const peer prover{received_credentials.sender_role, received_credentials.sender};
    remote_nonce_ = received_credentials.nonce;
    const auto expected = proof(connector_side, prover, remote_nonce_ + nonce_);
    if (received_credentials.nonce.size() < min_nonce_bytes ||
        !equal_in_constant_time(received_credentials.proof, expected)) {
        return absl::PermissionDeniedError("wrong fleet secret");
    }
    remote_ = prover;
    return welcome{self_.process_role, self_.process,
                   proof(listener_side, self_, nonce_ + remote_nonce_)};
}

absl::StatusOr<credentials> handshake::respond(const challenge& received_challenge)
{
    if (absl::Status status = check_protocol(received_challenge.protocol); !status.ok()) {
        return status;
    }
    if (received_challenge.nonce.size() < min_nonce_bytes) {
        return absl::PermissionDeniedError("nonce of the challenge is too short");
    }
    remote_nonce_ = received_challenge.nonce;
    return credentials{protocol_version, self_.process_role, self_.process, nonce_,
                       proof(connector_side, self_, nonce_ + remote_nonce_)};
}

absl::Status handshake::finish(const welcome& received_welcome)
{
    const peer prover{received_welcome.sender_role, received_welcome.sender};
    const auto expected = proof(listener_side, prover, remote_nonce_ + nonce_);
    if (remote_nonce_.empty() || !equal_in_constant_time(received_welcome.proof, expected)) {
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
