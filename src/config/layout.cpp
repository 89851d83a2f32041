#include "config/layout.h"

#include "base/digest.h"
#include "base/stable_hash.h"
#include "config/snapshot.h"
#include "config/snapshot_codec.h"

#include <fmt/core.h>
#include <utility>

namespace snipespar::config {

namespace {

constexpr std::size_t max_buckets = 4096;

absl::Status add_part(stored_version& out, std::string name, const snapshot& fragment,
                      std::size_t max_part_bytes)
{
    auto bytes = encode(fragment);
    if (bytes.size() > max_part_bytes) {
        return absl::ResourceExhaustedError(
            fmt::format("part {} has {} bytes, more than {}", name, bytes.size(), max_part_bytes));
    }
    auto hash = sha256_hex(bytes);
    out.refs.push_back({std::move(name), hash});
    out.parts.emplace(std::move(hash), std::move(bytes));
    return absl::OkStatus();
}

snapshot empty_fragment(const snapshot& config)
{
    snapshot fragment;
    fragment.environment = config.environment;
    return fragment;
}

// Partitions the entries of one map of the snapshot into fragments by the hash of their names.
template <class Map>
std::vector<snapshot> make_fragments(const snapshot& config, Map snapshot::* member,
                                     std::size_t buckets)
{
    std::vector<snapshot> fragments(buckets, empty_fragment(config));
    for (const auto& [id, item] : config.*member) {
        (fragments[stable_hash(id.str()) % buckets].*member).emplace(id, item);
    }
    return fragments;
}

// Doubles the number of buckets until each fits into a part.
template <class Map>
absl::Status split_map(stored_version& out, const snapshot& config, Map snapshot::* member,
                       const std::string& name, std::size_t max_part_bytes)
{
    absl::Status status;
    for (std::size_t buckets = 1; buckets <= max_buckets; buckets *= 2) {
        stored_version parts;
        status = absl::OkStatus();
        std::size_t position = 0;
        for (const auto& fragment : make_fragments(config, member, buckets)) {
            status.Update(add_part(parts, fmt::format("{}-{}-of-{}", name, position, buckets),
                                   fragment, max_part_bytes));
            ++position;
        }
        if (status.ok()) {
            out.refs.insert(out.refs.end(), parts.refs.begin(), parts.refs.end());
            out.parts.merge(std::move(parts.parts));
            return status;
        }
    }
    return status;
}

// Adds the entries of a fragment; false if the target already has one of them.
template <class Map>
bool merge_into(Map& target, Map& source)
{
    target.merge(source);
    return source.empty();
}

absl::Status add_fragment(snapshot& config, snapshot fragment, const part_ref& ref)
{
    if (fragment.environment != config.environment) {
        return absl::DataLossError(fmt::format("part {} belongs to another environment", ref.name));
    }
    if (ref.name == "core") {
        config.routes = std::move(fragment.routes);
        config.weight_store = fragment.weight_store;
    }
    const bool teams = merge_into(config.teams, fragment.teams);
    const bool keys = merge_into(config.keys, fragment.keys);
    const bool adapters = merge_into(config.adapters, fragment.adapters);
    const bool upstreams = merge_into(config.upstreams, fragment.upstreams);
    return teams && keys && adapters && upstreams
               ? absl::OkStatus()
               : absl::DataLossError(fmt::format("part {} repeats an entry", ref.name));
}

} // namespace

absl::StatusOr<stored_version> split(const snapshot& config, std::size_t max_part_bytes)
{
    stored_version out;
    auto core = empty_fragment(config);
    core.teams = config.teams;
    core.routes = config.routes;
    core.weight_store = config.weight_store;
    auto status = add_part(out, "core", core, max_part_bytes);
    const auto add_map = [&](auto member, const char* name) {
        if (status.ok()) {
            status = split_map(out, config, member, name, max_part_bytes);
        }
    };
    add_map(&snapshot::upstreams, "upstreams");
    add_map(&snapshot::keys, "keys");
    add_map(&snapshot::adapters, "adapters");
    if (!status.ok()) {
        return status;
    }
    return out;
}

absl::StatusOr<snapshot> assemble(const root& root, const part_map& parts)
{
    snapshot config;
    config.version = root.version;
    config.environment = root.environment;
    for (const auto& ref : root.parts) {
        const auto found = parts.find(ref.sha256);
        if (found == parts.end() || sha256_hex(found->second) != ref.sha256) {
            return absl::DataLossError(fmt::format("part {} is missing or damaged", ref.name));
        }
        auto fragment = decode_snapshot(found->second);
        if (!fragment.ok()) {
            return absl::DataLossError(fragment.status().message());
        }
        auto status = add_fragment(config, std::move(*fragment), ref);
        if (!status.ok()) {
            return status;
        }
    }
    return config;
}

} // namespace snipespar::config
