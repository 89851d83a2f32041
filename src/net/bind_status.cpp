#include "net/bind_status.h"

#include "net/resource_error.h"

#include <boost/asio/error.hpp>
#include <boost/system/errc.hpp>

namespace snipespar::net {

namespace {

bool is_transient(const boost::system::error_code& error)
{
    namespace errc = boost::system::errc;
    return error == errc::address_in_use || is_resource_error(error);
}

} // namespace

absl::Status bind_status(const std::string& address, const boost::system::error_code& error)
{
    if (!error) {
        return absl::OkStatus();
    }
    const auto message = "cannot listen on " + address + ": " + error.message();
    return is_transient(error) ? absl::UnavailableError(message)
                               : absl::FailedPreconditionError(message);
}

} // namespace snipespar::net
