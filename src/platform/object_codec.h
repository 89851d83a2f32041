#pragma once

#include "platform/watched_object.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace snipespar::platform {

/// An object of a list or an event that could not be read.
struct unreadable_object {
    /// Empty if the name could not be read either.
    std::string name;
    std::string reason;
};

/// One page of a list, or the events that a poll has returned.
struct object_page {
    std::uint64_t revision = 0;
    /// The list continues behind the last name.
    bool has_more = false;
    /// Names of all objects that have one, in the order of the store and byte for byte as it states
    /// them, whether or not an object may have such a name.
    std::vector<std::string> names;
    /// Readable objects. One whose name alone is readable has no content.
    std::vector<watched_object> objects;
    /// The first ones.
    std::vector<unreadable_object> unreadable;
};

/// How the values of objects are read.
enum class content_form {
    value,
    /// As text, because the values are large and their reader takes them in steps.
    text,
};

/// Reads a page of a list (`items`) or the response to a poll (`events`). Objects are split first
/// and read one by one, so that an unreadable one leaves the others unaffected. Invalid argument:
/// the response itself is malformed.
absl::StatusOr<object_page> decode_object_page(std::string_view text,
                                               content_form form = content_form::value);

} // namespace snipespar::platform
