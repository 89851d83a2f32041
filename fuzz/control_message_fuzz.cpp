// Feeds arbitrary datagrams to the decoder of control messages. Every decoded message can be
// encoded and survives a round trip.

#include "control/message.h"
#include "fuzz_input.h"

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    namespace control = snipespar::control;
    namespace fuzz = snipespar::fuzz;
    const auto message = control::decode(fuzz::to_text(data, size));
    if (!message.ok()) {
        return 0;
    }
    const auto again = control::decode(control::encode(*message));
    fuzz::require(again.ok() && *again == *message);
    return 0;
}
