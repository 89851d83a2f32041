#pragma once

#include <cstdint>
#include <string_view>

namespace snipespar::gateway {

/// What a call finds at one upstream of its service.
enum class standing : std::uint8_t {
    /// It can be sent there.
    ready,
    /// The engine is loading the adapter.
    loading,
    /// The engine could load the adapter.
    may_load,
    /// The engine's sidecar has not reported yet.
    unreported,
    /// The engine neither has the adapter nor can load it soon.
    cannot_load,
    /// The engine has as many calls as may run and wait there.
    full,
    /// The plain service is not forecast to answer when the call wants it, or has no room.
    backlogged,
    /// It has announced its stop, or its entry is gone for good.
    leaving,
    /// It runs another software version than the one that began the stream.
    other_software,
    /// Which process runs there is not confirmed, and a stream may go to one version only.
    unconfirmed,
    /// The operator has evacuated its failure domain.
    evacuated,
    /// It has asked for a pause.
    closed,
    /// Its sidecar grants no permits for now, as the engine is cold.
    cold,
    /// It takes only calls with a permit, and this call may not ask for one.
    needs_permit,
    /// The call has been there before.
    tried,
    /// Too many calls in a row have failed there.
    ejected,
    /// Its entry was removed, and others have one.
    removed,
    /// Neither it nor its sidecar has been heard for a while.
    unresponsive,
    /// Too many of its calls fail.
    failing,
};

/// The name of a standing in answers to operators.
std::string_view name_of(standing value);

} // namespace snipespar::gateway
