#include "cli/settings_reader.h"

#include "cli/setting.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>
#include <utility>

namespace snipespar::cli {

settings_reader::settings_reader(std::span<const setting> table, text_map flags,
                                 text_map environment)
    : table_(table), flags_(std::move(flags)), environment_(std::move(environment))
{
}

std::string settings_reader::read_secret(std::string_view name, std::size_t min_bytes)
{
    const auto& item = find_setting(name);
    assert(item.secret);
    const auto place = variable_of(item);
    const auto variable = environment_.find(place);
    if (variable == environment_.end()) {
        add_finding(place, "is required in the environment");
        return {};
    }
    if (variable->second.size() < min_bytes) {
        add_finding(place, fmt::format("is shorter than {} bytes", min_bytes));
        return {};
    }
    return variable->second;
}

bool settings_reader::is_given(std::string_view name) const
{
    const auto& item = find_setting(name);
    return flags_.contains(flag_of(item)) || environment_.contains(variable_of(item));
}

void settings_reader::add_finding(std::string_view place, std::string_view message)
{
    findings_.push_back({std::string(place), std::string(message)});
}

void settings_reader::add_warning(std::string_view place, std::string_view message)
{
    warnings_.push_back({std::string(place), std::string(message)});
}

void settings_reader::check_variables(std::span<const std::string> known, bool warns_only)
{
    constexpr std::string_view message = "names no setting of any command";
    for (const auto& [name, text] : environment_) {
        const bool is_known = std::find(known.begin(), known.end(), name) != known.end();
        if (!name.starts_with("SNIPESPAR_") || is_known) {
            continue;
        }
        if (warns_only) {
            add_warning(name, message);
        }
        else {
            add_finding(name, message);
        }
    }
}

const setting& settings_reader::find_setting(std::string_view name) const
{
    const auto found = std::find_if(table_.begin(), table_.end(),
                                    [&](const setting& item) { return item.name == name; });
    assert(found != table_.end());
    return *found;
}

std::optional<settings_reader::placed_text> settings_reader::find(std::string_view name)
{
    const auto& item = find_setting(name);
    assert(!item.secret);
    if (const auto flag = flags_.find(flag_of(item)); flag != flags_.end()) {
        return placed_text{flag->first, flag->second};
    }
    if (const auto variable = environment_.find(variable_of(item));
        variable != environment_.end()) {
        return placed_text{variable->first, variable->second};
    }
    if (item.given == presence::defaulted) {
        return placed_text{flag_of(item), std::string(item.default_text)};
    }
    if (item.given == presence::required) {
        add_finding(flag_of(item), fmt::format("is required (or {})", variable_of(item)));
    }
    return std::nullopt;
}

} // namespace snipespar::cli
