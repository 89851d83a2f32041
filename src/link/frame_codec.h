#pragma once

#include "link/frame.h"

#include <absl/status/statusor.h>
#include <cstddef>
#include <string>
#include <string_view>

namespace snipespar::link {

/// Longest frame that a link carries, in bytes.
inline constexpr std::size_t max_frame_bytes = std::size_t{8} << 20U;

/// Longest frame before the handshake is over, in bytes.
inline constexpr std::size_t max_handshake_frame_bytes = 1024;

/// Encodes a frame as a CBOR array: the type code, then the fields in order.
std::string encode(const frame& message);

/// Decodes one frame. Rubbish, a wrong type of field and a missing field give InvalidArgument with
/// the field's position; unknown further fields are skipped.
absl::StatusOr<frame> decode(std::string_view bytes);

} // namespace snipespar::link
