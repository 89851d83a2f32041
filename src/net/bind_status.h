#pragma once

#include <absl/status/status.h>
#include <boost/system/error_code.hpp>
#include <string>

namespace snipespar::net {

/// The result of binding `address`. Unavailable: another attempt may succeed, as a predecessor
/// still holds the address or the host is not fully set up.
absl::Status bind_status(const std::string& address, const boost::system::error_code& error);

} // namespace snipespar::net
