// Feeds arbitrary bytes to the frame decoder. Every decoded frame must survive a round trip.

#include "link/frame_codec.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const auto message = snipespar::link::decode(bytes);
    if (!message.ok()) {
        return 0;
    }
    const auto again = snipespar::link::decode(snipespar::link::encode(*message));
    if (!again.ok() || *again != *message) {
        std::abort();
    }
    return 0;
}
