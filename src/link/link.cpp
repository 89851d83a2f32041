#include "link/link.h"

#include "link/frame_codec.h"

#include <utility>

namespace snipespar::link {

link::link(peer remote, std::string address, transport connection)
    : remote_(std::move(remote)), address_(std::move(address)), connection_(std::move(connection))
{
}

void link::send(const frame& message) const
{
    connection_.send(encode(message));
}

void link::close(std::string reason) const
{
    connection_.close(std::move(reason));
}

} // namespace snipespar::link
