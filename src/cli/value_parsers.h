#pragma once

#include "cli/endpoint.h"
#include "cli/placement_rule.h"
#include "cli/retention_rule.h"
#include "snipespar/time.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Parsers of single setting values. Each takes the whole text and fails with a message that says
/// what was expected and quotes the text.
namespace snipespar::cli {

/// A positive duration: a whole number with one of the units us, ms, s, m, h.
absl::StatusOr<duration> parse_duration(std::string_view text);

/// A duration that another program has rendered: a decimal number that is not negative, with or
/// without fraction and exponent, and a unit as above.
absl::StatusOr<duration> parse_time_span(std::string_view text);

/// As `parse_time_span`, but not zero.
absl::StatusOr<duration> parse_positive_time_span(std::string_view text);

/// A positive number of bytes: a whole number, alone or with one of the units B, KiB, MiB, GiB.
absl::StatusOr<std::uint64_t> parse_byte_size(std::string_view text);

/// An address to connect to: a numeric IPv4 address, or an IPv6 address in brackets, and a port.
absl::StatusOr<endpoint> parse_endpoint(std::string_view text);

/// An address to listen on: as `parse_endpoint`, and port 0 lets the kernel choose one.
absl::StatusOr<endpoint> parse_listen_endpoint(std::string_view text);

/// Addresses separated by commas; an empty text is an empty list. No address may occur twice.
absl::StatusOr<std::vector<endpoint>> parse_endpoint_list(std::string_view text);

/// A whole number from 1 to 1024.
absl::StatusOr<std::uint32_t> parse_thread_count(std::string_view text);

/// Any whole number of 64 bits.
absl::StatusOr<std::uint64_t> parse_number(std::string_view text);

/// A decimal number that is not negative.
absl::StatusOr<double> parse_real(std::string_view text);

/// A name of 1 to 63 letters, digits, dots, underscores and hyphens.
absl::StatusOr<std::string> parse_name(std::string_view text);

/// A name given by another system: 1 to 253 bytes of UTF-8 without spaces and control characters.
absl::StatusOr<std::string> parse_foreign_name(std::string_view text);

/// As `parse_foreign_name`; the name may be empty.
absl::StatusOr<std::string> parse_optional_foreign_name(std::string_view text);

/// `load` or `work`.
absl::StatusOr<placement_rule> parse_placement(std::string_view text);

/// `recency` or `demand`.
absl::StatusOr<retention_rule> parse_retention(std::string_view text);

/// A text of at most 700 bytes of UTF-8 without spaces and control characters; may be empty.
absl::StatusOr<std::string> parse_request_text(std::string_view text);

/// As `parse_request_text`, beginning with a slash.
absl::StatusOr<std::string> parse_request_path(std::string_view text);

/// A path of a file; not empty.
absl::StatusOr<std::string> parse_path(std::string_view text);

} // namespace snipespar::cli
