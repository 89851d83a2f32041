// Measures what a version of the configuration costs a gateway, from the bytes of the store's
// response to its use, by the number of routes and of those that differ from the version before.
//
// usage: config_bench

#include "platform/config_reader.h"
#include "platform/object_codec.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <ctime>
#include <fmt/core.h>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace {

using namespace snipespar;

constexpr int repetitions = 9;

double processor_ms()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return 1e3 * static_cast<double>(now.tv_sec) + 1e-6 * static_cast<double>(now.tv_nsec);
}

// The response to a poll that holds a version. The first `changed` routes have another time limit
// for each `round`.
std::string response(std::uint64_t version, std::size_t routes, std::size_t changed, int round)
{
    std::string list;
    for (std::size_t i = 0; i < routes; ++i) {
        list += fmt::format(
            R"({}{{"name":"route-{}","host":"host-{}.example","path_prefix":"/part-{}/",)"
            R"("route_type":"safe","timeout_ms":{},"target_latency_ms":100,"priority":1,)"
            R"("max_attempts":2,"upstream":"desk","public":false}})",
            i == 0 ? "" : ",", i, i % 97, i, 600 + (i < changed ? round : 0));
    }
    return fmt::format(
        R"({{"events":[{{"object":{{"metadata":{{"name":"main","revision":{0}}},"spec":)"
        R"({{"version":{0},"routes":[{1}],"upstreams":[{{"name":"desk","max_connections":110}}],)"
        R"("limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
        R"("idle_timeout_ms":15000}},"tenants":[{{"name":"shops","api_keys":["k1"]}}]}},)"
        R"("status":null}},"removed":false}}],"current_rev":{0}}})",
        version, list);
}

struct cost {
    double total_ms = 0;
    double longest_step_ms = 0;
};

// Steps between which a gateway serves callers.
cost take_up(platform::config_reader& reader, const std::string& text)
{
    cost spent;
    const auto add_step = [&](auto step) {
        const auto began = processor_ms();
        step();
        const auto taken = processor_ms() - began;
        spent.total_ms += taken;
        spent.longest_step_ms = std::max(spent.longest_step_ms, taken);
    };
    add_step([&] {
        auto page = platform::decode_object_page(text, platform::content_form::text);
        reader.begin(std::move(page->objects.front().text));
    });
    while (reader.is_reading()) {
        add_step([&] { std::ignore = reader.read_on(); });
    }
    return spent;
}

} // namespace

int main()
{
    fmt::print("routes  changed   bytes  processor ms  longest step ms\n");
    for (const std::size_t routes : {50UL, 1450UL, 2850UL, 4250UL, 5600UL}) {
        for (const std::size_t changed : {std::size_t{1}, routes / 10, routes}) {
            std::vector<cost> costs;
            std::size_t bytes = 0;
            platform::config_reader reader;
            take_up(reader, response(1, routes, changed, 0));
            for (int i = 1; i <= repetitions; ++i) {
                const auto text = response(static_cast<std::uint64_t>(i) + 1, routes, changed, i);
                bytes = text.size();
                costs.push_back(take_up(reader, text));
            }
            std::ranges::sort(costs, {}, &cost::total_ms);
            const auto& median = costs[costs.size() / 2];
            fmt::print("{:6}  {:7}  {:6}  {:12.2f}  {:15.2f}\n", routes, changed, bytes,
                       median.total_ms, median.longest_step_ms);
        }
    }
    return 0;
}
