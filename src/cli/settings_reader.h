#pragma once

#include "cli/setting.h"
#include "snipespar/finding.h"

#include <absl/status/statusor.h>
#include <cassert>
#include <fmt/format.h>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace snipespar::cli {

/// Texts given on the command line or in the environment, by flag or variable name.
using text_map = std::map<std::string, std::string>;

/// Reads typed settings from flags, environment variables and defaults, in that order, and collects
/// every error with its place.
class settings_reader {
public:
    /// `flags` holds only the flags that were given, with their leading hyphens.
    settings_reader(std::span<const setting> table, text_map flags, text_map environment);

    /// Reads the setting `name` of the table. Records a finding and returns nothing when a required
    /// value is missing or when `parse` rejects the text; an absent optional gives nothing.
    template <class Value>
    std::optional<Value> read(std::string_view name,
                              absl::StatusOr<Value> (*parse)(std::string_view))
    {
        const auto text = find(name);
        if (!text) {
            return std::nullopt;
        }
        auto value = parse(text->text);
        if (!value.ok()) {
            add_finding(text->place, std::string(value.status().message()));
            return std::nullopt;
        }
        return *std::move(value);
    }

    /// As `read`, for a setting whose absence is a finding anyway; returns an empty value then.
    template <class Value>
    Value read_or_empty(std::string_view name, absl::StatusOr<Value> (*parse)(std::string_view))
    {
        return read<Value>(name, parse).value_or(Value{});
    }

    /// As `read`, for a setting that has a default: a text that `parse` rejects gives way to it
    /// with a warning.
    template <class Value>
    Value read_or_default(std::string_view name, absl::StatusOr<Value> (*parse)(std::string_view))
    {
        const auto text = find(name);
        assert(text);
        auto value = parse(text->text);
        if (value.ok()) {
            return *std::move(value);
        }
        const auto standard = find_setting(name).default_text;
        add_warning(text->place, fmt::format("{}; {} is used instead",
                                             std::string(value.status().message()), standard));
        return *parse(standard);
    }

    /// Reads a secret from its environment variable; its text never appears in a finding.
    std::string read_secret(std::string_view name, std::size_t min_bytes);

    /// Whether a flag or a variable sets `name`, to a valid value or not.
    bool is_given(std::string_view name) const;

    /// Records a finding that concerns several settings.
    void add_finding(std::string_view place, std::string_view message);

    /// Records a finding for each variable with the project's prefix that is not in `known`, or
    /// only a warning.
    void check_variables(std::span<const std::string> known, bool warns_only);

    const findings& found() const { return findings_; }

    /// What was ignored.
    const findings& warnings() const { return warnings_; }

private:
    // A text and the flag or variable that set it.
    struct placed_text {
        std::string place;
        std::string text;
    };

    void add_warning(std::string_view place, std::string_view message);
    const setting& find_setting(std::string_view name) const;
    std::optional<placed_text> find(std::string_view name);

    std::span<const setting> table_;
    text_map flags_;
    text_map environment_;
    findings findings_;
    findings warnings_;
};

} // namespace snipespar::cli
