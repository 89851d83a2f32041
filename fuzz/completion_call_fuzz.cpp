// Feeds arbitrary bodies to the parser of completions and chat completions.

#include "entry/completion_call.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    for (const bool chat : {false, true}) {
        const auto call = snipespar::entry::parse_completion_call(bytes, chat);
        static_cast<void>(call.ok());
    }
    return 0;
}
