#pragma once

#include <nlohmann/json_fwd.hpp>

namespace snipespar {
class json_reader;
}

namespace snipespar::resume {
struct stream_key;
struct stream_origin;
} // namespace snipespar::resume

namespace snipespar::control {

/// Adds the key of a stream to a message about its origin.
void add_key(nlohmann::json& value, const resume::stream_key& key);

/// Adds the service and software version that began a stream.
void add_origin(nlohmann::json& value, const resume::stream_origin& origin);

/// The key that a message names; a finding of `fields` if it names none.
resume::stream_key read_key(const json_reader& fields);

resume::stream_origin read_origin(const json_reader& fields);

} // namespace snipespar::control
