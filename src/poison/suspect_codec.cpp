#include "poison/suspect_codec.h"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

namespace snipespar::poison {

namespace {

using nlohmann::json;

// Longest remaining time that a report may state; a day.
constexpr std::int64_t max_remaining_us = std::int64_t{24} * 3600 * 1'000'000;

std::optional<death_report> decode_death(const json& value)
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
    return death_report{
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
        auto death = decode_death(item);
        if (!death) {
            return std::nullopt;
        }
        report.deaths.push_back(std::move(*death));
    }
    return report;
}

} // namespace

json encode(const suspect_digest& digest)
{
    json list = json::array();
    for (const auto& report : digest) {
        json deaths = json::array();
        for (const auto& death : report.deaths) {
            const auto remaining_us = static_cast<std::uint64_t>(death.remaining.count());
            deaths.push_back(json::array({death.id.upstream.str(), death.id.number, death.alone,
                                          death.cleared, remaining_us}));
        }
        list.push_back(json::array({report.print, std::move(deaths)}));
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
