#pragma once

#include "config/follower_message.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace snipespar::config {

/// Encodes a message in CBOR.
std::string encode(const follower_message& message);

/// Decodes a message; InvalidArgument for anything that encode() does not write.
absl::StatusOr<follower_message> decode_follower_message(std::string_view payload);

} // namespace snipespar::config
