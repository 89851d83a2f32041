#pragma once

#include "entry/limit_store.h"
#include "limits/limit_settings.h"

#include <boost/asio/any_io_executor.hpp>
#include <map>

namespace snipespar::entry {

/// Keeps the allocation tables in memory, for an entry that runs without a platform and therefore
/// owns every limit alone.
class local_limit_store {
public:
    local_limit_store(boost::asio::any_io_executor executor, limits::member self);

    /// A store that refers to this object, which must outlive it.
    limit_store store();

private:
    boost::asio::any_io_executor executor_;
    limits::member self_;
    std::map<std::uint32_t, limits::versioned_table> tables_;
};

} // namespace snipespar::entry
