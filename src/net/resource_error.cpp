#include "net/resource_error.h"

#include <boost/system/errc.hpp>

namespace snipespar::net {

bool is_resource_error(const boost::system::error_code& error)
{
    namespace errc = boost::system::errc;
    return error == errc::too_many_files_open || error == errc::too_many_files_open_in_system ||
           error == errc::no_buffer_space || error == errc::not_enough_memory ||
           error == errc::address_not_available;
}

} // namespace snipespar::net
