#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace service_stand_in {

/// What the service has received and executed since it started.
class execution_record {
public:
    /// Notes bytes as they came from the network.
    void received(std::string_view bytes) { bytes_ += bytes; }

    /// Counts one execution and returns how many there have been in all. The names may be empty.
    std::uint64_t executed(const std::string& request_id, const std::string& idempotency_key);

    /// The counts as a JSON document. `find` is looked for in all bytes received; empty finds
    /// nothing.
    std::string report(const std::string& find) const;

private:
    std::uint64_t total_ = 0;
    std::map<std::string, std::uint64_t> by_request_;
    std::map<std::string, std::uint64_t> by_key_;
    std::string bytes_;
};

} // namespace service_stand_in
