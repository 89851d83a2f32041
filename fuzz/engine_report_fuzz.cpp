// Feeds arbitrary text to the decoder of engine reports. Every count of a decoded report is one,
// and its names can be written as JSON, as those of orders are.

#include "fuzz_input.h"
#include "platform/engine_codec.h"

#include <cstddef>
#include <cstdint>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    namespace fuzz = snipespar::fuzz;
    namespace platform = snipespar::platform;
    const auto report = platform::decode_engine_report(std::string(fuzz::to_text(data, size)));
    if (!report.ok()) {
        return 0;
    }
    fuzz::require(report->running >= 0 && report->waiting >= 0);
    snipespar::sidecar::engine_order order;
    for (const auto& model : report->models) {
        order.model = model;
        fuzz::require(!platform::encode_order(order, "host").empty());
    }
    for (const auto& [adapter, version] : report->adapters) {
        order.adapter = adapter;
        order.version = version;
        fuzz::require(!platform::encode_order(order, "host").empty());
    }
    for (const auto& adapter : report->loading) {
        order.adapter = adapter;
        fuzz::require(!platform::encode_order(order, "host").empty());
    }
    return 0;
}
