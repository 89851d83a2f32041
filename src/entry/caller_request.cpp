#include "entry/caller_request.h"

#include <boost/beast/core/string.hpp>

namespace snipespar::entry {

std::string_view caller_request::header(std::string_view name) const
{
    for (const auto& field : headers) {
        if (boost::beast::iequals(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

} // namespace snipespar::entry
