#include "config/yaml_fields.h"

#include <algorithm>
#include <numeric>

namespace snipespar::config {

namespace {

// Levenshtein distance, for hints at misspelt names.
std::size_t edit_distance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t replace = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({replace, row[j] + 1, row[j - 1] + 1});
        }
    }
    return row.back();
}

// The known name most similar to the given one; empty if none is close.
std::string nearest_name(std::string_view name, const std::vector<std::string>& known)
{
    constexpr std::size_t max_name_length = 64;
    constexpr std::size_t max_edits = 3;
    if (name.empty() || name.size() > max_name_length) {
        return {};
    }
    std::string best;
    std::size_t best_distance = max_edits + 1;
    for (const auto& candidate : known) {
        const bool is_start = name.size() >= max_edits && candidate.starts_with(name);
        const auto distance = is_start ? 1 : edit_distance(name, candidate);
        if (distance < best_distance) {
            best = candidate;
            best_distance = distance;
        }
    }
    return best;
}

} // namespace

yaml_fields::yaml_fields(const YAML::Node& node, std::string what, placed_findings& out)
    : what_(std::move(what)), mark_(node.Mark()), out_(out)
{
    if (!node.IsMap()) {
        out_.add(mark_, fmt::format("{} must be a mapping", what_));
        return;
    }
    for (const auto& pair : node) {
        if (!pair.first.IsScalar()) {
            out_.add(pair.first.Mark(), fmt::format("a name in {} must be a scalar", what_));
            continue;
        }
        const auto& name = pair.first.Scalar();
        if (!index_.emplace(name, entries_.size()).second) {
            out_.add(pair.first.Mark(), fmt::format("`{}` appears twice in {}", name, what_));
            continue;
        }
        entries_.push_back({name, pair.first.Mark(), pair.second});
    }
}

std::optional<YAML::Node> yaml_fields::take(std::string_view name, bool required)
{
    known_.emplace_back(name);
    const auto found = index_.find(name);
    if (found != index_.end()) {
        return entries_[found->second].value;
    }
    if (required) {
        out_.add(mark_, fmt::format("{} needs the field `{}`", what_, name));
    }
    return std::nullopt;
}

std::string yaml_fields::text(std::string_view name)
{
    const auto node = take(name, true);
    if (!node) {
        return {};
    }
    if (!node->IsScalar() || node->Scalar().empty()) {
        out_.add(node->Mark(), fmt::format("`{}` must be a non-empty string", name));
        return {};
    }
    return node->Scalar();
}

bool yaml_fields::flag(std::string_view name, bool fallback)
{
    const auto node = take(name, false);
    if (!node) {
        return fallback;
    }
    if (node->IsScalar() && (node->Scalar() == "true" || node->Scalar() == "false")) {
        return node->Scalar() == "true";
    }
    out_.add(node->Mark(), fmt::format("`{}` must be true or false", name));
    return fallback;
}

std::vector<yaml_fields::entry> yaml_fields::texts(std::string_view name)
{
    const auto node = take(name, false);
    if (!node) {
        return {};
    }
    if (!node->IsSequence()) {
        out_.add(node->Mark(), fmt::format("`{}` must be a list", name));
        return {};
    }
    std::vector<entry> list;
    for (const auto& item : *node) {
        if (!item.IsScalar() || item.Scalar().empty()) {
            out_.add(item.Mark(), fmt::format("an item of `{}` must be a non-empty string", name));
            continue;
        }
        list.push_back({item.Scalar(), item.Mark(), item});
    }
    return list;
}

void yaml_fields::reject_unknown()
{
    for (const auto& item : entries_) {
        if (std::ranges::find(known_, item.name) != known_.end()) {
            continue;
        }
        const auto hint = nearest_name(item.name, known_);
        const auto suffix = hint.empty() ? "" : fmt::format("; did you mean `{}`?", hint);
        out_.add(item.mark, fmt::format("unknown field `{}` in {}{}", item.name, what_, suffix));
    }
}

} // namespace snipespar::config
