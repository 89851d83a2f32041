#include "config/document.h"
#include "config/snapshot_codec.h"

#include <cstdint>
#include <cstdlib>
#include <string_view>

// A document is either rejected with findings or survives a round trip through its stored form
// unchanged. Arbitrary bytes are rejected as a stored form, or decode to a snapshot that can be
// encoded and decoded again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    namespace config = snipespar::config;
    const auto result = config::document::parse(text, "fuzz.yaml");
    if (const auto* read = std::get_if<config::document>(&result)) {
        const auto stored = config::decode_snapshot(config::encode(read->content()));
        if (!stored.ok() || *stored != read->content()) {
            std::abort();
        }
    }
    if (const auto stored = config::decode_snapshot(text); stored.ok()) {
        if (const auto again = config::decode_snapshot(config::encode(*stored)); !again.ok()) {
            std::abort();
        }
    }
    return 0;
}
