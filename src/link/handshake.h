#pragma once

#include "base/secret.h"
#include "link/frame/challenge.h"
#include "link/frame/credentials.h"
#include "link/frame/welcome.h"
#include "link/peer.h"

#include <absl/status/statusor.h>
#include <string>

namespace snipespar::link {

/// Mutual authentication of a new link by the fleet secret: each side responds to the other's nonce
/// with an HMAC that also covers its own identity. One object serves one connection.
class handshake {
public:
    /// `nonce` must be fresh random bytes for each connection.
    handshake(secret fleet_secret, peer self, std::string nonce);

    /// Listening side: the first frame to send.
    challenge make_challenge() const;

    /// Listening side: checks the credentials. On success returns the last frame of the handshake
    /// and sets `remote()`; otherwise PermissionDenied, or FailedPrecondition for another protocol.
    absl::StatusOr<welcome> accept(const credentials& received_credentials);

    /// Connecting side: the response to a challenge.
    absl::StatusOr<credentials> respond(const challenge& received_challenge);

    /// Connecting side: checks that the listener holds the secret too; sets `remote()` on success.
    absl::Status finish(const welcome& received_welcome);

    /// The authenticated identity of the peer; valid once the handshake has succeeded.
    const peer& remote() const { return remote_; }

private:
    std::string proof(std::string_view side, const peer& prover, const std::string& nonces) const;

    secret fleet_secret_;
    peer self_;
    std::string nonce_;
    std::string remote_nonce_;
    peer remote_;
};

} // namespace snipespar::link
