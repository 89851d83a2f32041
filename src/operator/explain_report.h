#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

/// Texts for terminals from a gateway's answers to `snipespar explain`. They hold no control
/// characters other than line ends, whatever the answer names.
namespace snipespar::operators {

/// One line for each finding of a question that was refused, with `place` in front.
std::string describe_refusal(std::string_view place, const nlohmann::json& answer);

/// The decision and a table of the upstreams for each service; nothing if the answer has another
/// form.
std::optional<std::string> make_table(const nlohmann::json& answer);

} // namespace snipespar::operators
