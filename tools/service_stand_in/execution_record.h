#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace service_stand_in {

/// Bytes received and requests executed since the process started.
class execution_record {
public:
    /// Records bytes as received from the network.
    void received(std::string_view bytes) { bytes_ += bytes; }

    /// Counts one execution and returns the total. The id and the key may be empty.
    std::uint64_t executed(const std::string& request_id, const std::string& idempotency_key);

    /// The counts as a JSON document. Also searches all received bytes for `find`; an empty text
    /// is never found.
    std::string report(const std::string& find) const;

private:
    std::uint64_t total_ = 0;
    std::map<std::string, std::uint64_t> by_request_;
    std::map<std::string, std::uint64_t> by_key_;
    std::string bytes_;
};

} // namespace service_stand_in
