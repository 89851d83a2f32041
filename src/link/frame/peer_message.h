#pragma once

#include <cstdint>
#include <string>

namespace snipespar::link {

/// A message of one of the decision objects to its like in another process.
struct peer_message {
    /// Which decision object it is for.
    std::string topic;
    /// The message in CBOR, in the encoding of that object's codec.
    std::string payload;

    friend bool operator==(const peer_message&, const peer_message&) = default;
};

} // namespace snipespar::link
