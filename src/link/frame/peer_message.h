#pragma once

#include <cstdint>
#include <string>

namespace snipespar::link {

/// A message from a decision object to its counterpart in another process.
struct peer_message {
    /// The decision object that receives it.
    std::string topic;
    /// The message in CBOR, in the encoding of that object's codec.
    std::string payload;

    friend bool operator==(const peer_message&, const peer_message&) = default;
};

} // namespace snipespar::link
