#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace snipespar::platform {

/// The newest announced version of one adapter.
struct adapter_version {
    std::string model;
    /// Empty for a version of the base model itself.
    std::string adapter;
    std::uint64_t version = 0;

    friend bool operator==(const adapter_version&, const adapter_version&) = default;
};

/// Decodes an announced version. InvalidArgument when a field is missing or mistyped.
absl::StatusOr<adapter_version> decode_adapter_version(const nlohmann::json& content);

} // namespace snipespar::platform
