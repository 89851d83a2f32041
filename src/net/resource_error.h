#pragma once

#include <boost/system/error_code.hpp>

namespace snipespar::net {

/// Whether an operation failed because this process or its host has too few descriptors, ports or
/// buffers, which says nothing about a peer.
bool is_resource_error(const boost::system::error_code& error);

} // namespace snipespar::net
