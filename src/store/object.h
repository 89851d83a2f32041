#pragma once

#include "snipespar/ids.h"
#include "snipespar/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipespar::store {

/// Largest value that the platform stores, in bytes.
inline constexpr std::size_t max_value_bytes = 1'000'000;

/// Version of an object; increases with each change of any object. 0 means that there is no object.
using revision = std::uint64_t;

/// An object, or an item of a list, which has no value.
struct object {
    std::string key;
    std::string value;
    store::revision revision = 0;

    friend bool operator==(const object&, const object&) = default;
};

/// One item of the platform's host list, which may be out of date.
struct host_record {
    host_id host;
    failure_domain_id failure_domain;
    /// IP address and port of the process's links.
    std::string address;
    std::string role;
    bool leaving = false;

    friend bool operator==(const host_record&, const host_record&) = default;
};

/// Reads one object.
struct get_object {
    std::string key;
};

/// Lists keys and revisions below a prefix; may be out of date.
struct list_objects {
    std::string prefix;
};

/// Writes one object if it is at revision `expected` (0: if there is none); without `expected`,
/// unconditionally.
struct put_object {
    std::string key;
    std::string value;
    std::optional<revision> expected;
};

/// Deletes one object if it is at revision `expected`.
struct erase_object {
    std::string key;
    revision expected = 0;
};

/// Waits until an object is newer than `after`, at most `wait`.
struct watch_object {
    std::string key;
    revision after = 0;
    duration wait{};
};

/// Reads the list of hosts, which may be out of date.
struct list_hosts {};

/// One call to the platform.
using request =
    std::variant<get_object, list_objects, put_object, erase_object, watch_object, list_hosts>;

} // namespace snipespar::store
