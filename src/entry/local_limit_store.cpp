#include "entry/local_limit_store.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace snipespar::entry {

local_limit_store::local_limit_store(boost::asio::any_io_executor executor, limits::member self)
    : executor_(std::move(executor)), self_(std::move(self))
{
}

limit_store local_limit_store::store()
{
    limit_store result;
    result.read = [this](const limits::read_table& read, auto reply) {
        boost::asio::post(
            executor_, [reply = std::move(reply), table = tables_[read.group]] { reply(table); });
    };
    result.write = [this](const limits::write_table& write, auto reply) {
        auto& stored = tables_[write.group];
        auto outcome = limits::write_outcome::conflict;
        if (stored.version == write.expected_version) {
            stored = {stored.version + 1, write.table};
            outcome = limits::write_outcome::written;
        }
        boost::asio::post(executor_, [reply = std::move(reply), outcome] { reply(outcome); });
    };
    result.members = [this] { return std::optional(std::vector{self_}); };
    return result;
}

} // namespace snipespar::entry
