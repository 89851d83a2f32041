#include "control/origin_codec.h"

#include "base/json_reader.h"
#include "resume/stream_key.h"
#include "resume/stream_origin.h"

#include <cstdint>
#include <nlohmann/json.hpp>

namespace snipespar::control {

void add_key(nlohmann::json& value, const resume::stream_key& key)
{
    value["high"] = key.high;
    value["low"] = key.low;
}

void add_origin(nlohmann::json& value, const resume::stream_origin& origin)
{
    value["service"] = origin.service;
    value["software"] = origin.software;
}

resume::stream_key read_key(const json_reader& fields)
{
    return {fields.integer<std::uint64_t>("high"), fields.integer<std::uint64_t>("low")};
}

resume::stream_origin read_origin(const json_reader& fields)
{
    return {fields.text("service"), fields.text("software")};
}

} // namespace snipespar::control
