#pragma once

#include "link/frame.h"

#include <absl/status/statusor.h>
#include <cstddef>
#include <string>
#include <string_view>

namespace snipespar::link {

/// Maximum size of a frame, in bytes.
inline constexpr std::size_t max_frame_bytes = std::size_t{8} << 20U;

/// Maximum size of a frame before the handshake is complete, in bytes.
inline constexpr std::size_t max_handshake_frame_bytes = 1024;

/// Encodes a frame as a CBOR array: the type code, then the fields in order.
std::string encode(const frame& message);

/// Decodes one frame. Malformed input, a mistyped field and a missing field give InvalidArgument,
/// the latter two with the field's position; additional fields at the end are skipped.
absl::StatusOr<frame> decode(std::string_view bytes);

} // namespace snipespar::link
