#include "poison/suspect_codec.h"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

namespace snipespar::poison {

namespace {

using nlohmann::json;

// Maximum remaining time accepted in a report: one day.
constexpr std::int64_t max_remaining_us = std::int64_t{24} * 3600 * 1'000'000;

std::optional<crash_report> decode_crash(const json& value)
{
    constexpr std::size_t fields = 5;
    if (!value.is_array() || value.size() != fields || !value[0].is_string() ||
        !value[1].is_number_unsigned() || !value[2].is_boolean() || !value[3].is_boolean() ||
        !value[4].is_number_unsigned()) {
        return std::nullopt;
    }
    const auto remaining_us = value[4].get<std::uint64_t>();
    if (std::cmp_greater(remaining_us, max_remaining_us)) {
        return std::nullopt;
    }
    return crash_report{
        .id = {upstream_id(value[0].get<std::string>()), value[1].get<std::uint64_t>()},
        .alone = value[2].get<bool>(),
        .cleared = value[3].get<bool>(),
        .remaining = duration(static_cast<duration::rep>(remaining_us)),
    };
}

std::optional<suspect_report> decode_report(const json& value)
{
    if (!value.is_array() || value.size() != 2 || !value[0].is_number_unsigned() ||
        !value[1].is_array()) {
        return std::nullopt;
    }
    suspect_report report{value[0].get<fingerprint>(), {}};
    for (const auto& item : value[1]) {
        auto crash = decode_crash(item);
        if (!crash) {
            return std::nullopt;
        }
        report.crashes.push_back(std::move(*crash));
    }
    return report;
}

} // namespace

json encode(const suspect_digest& digest)
{
    json list = json::array();
    for (const auto& report : digest) {
        json crashes = json::array();
        for (const auto& crash : report.crashes) {
            const auto remaining_us = static_cast<std::uint64_t>(crash.remaining.count());
            crashes.push_back(json::array({crash.id.upstream.str(), crash.id.number, crash.alone,
                                           crash.cleared, remaining_us}));
        }
        list.push_back(json::array({report.print, std::move(crashes)}));
    }
    return list;
}

absl::StatusOr<suspect_digest> decode_suspect_digest(const json& value)
{
    if (!value.is_array()) {
        return absl::InvalidArgumentError("suspects: expected an array");
    }
    suspect_digest digest;
    for (std::size_t i = 0; i < value.size(); ++i) {
        auto report = decode_report(value[i]);
        if (!report) {
            return absl::InvalidArgumentError("suspects[" + std::to_string(i) + "]: malformed");
        }
        digest.push_back(std::move(*report));
    }
    return digest;
}

} // namespace snipespar::poison
