#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace snipespar::testing {

/// What one caller sent and received. Status 0: no complete response.
struct soak_call {
    std::string target;
    std::string body;
    unsigned status = 0;
    std::string answer;
};

/// What callers observed in one soak, checked against the runs that upstreams logged.
class soak_record {
public:
    /// Records a call before it is sent.
    void on_sent(const std::string& id, const std::string& target, const std::string& body);
    void on_answer(const std::string& id, unsigned status, const std::string& answer);

    /// Checks all guarantees. `upstream_outputs` has the output of every incarnation of every
    /// upstream. Returns one line per violated guarantee.
    std::vector<std::string> check(const std::vector<std::string>& upstream_outputs) const;

    /// Number of calls by status.
    std::map<unsigned, int> totals() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, soak_call> calls_;
};

/// Response body that the stand-ins send for a call.
std::string expected_answer(const std::string& id, const std::string& target,
                            const std::string& body);

} // namespace snipespar::testing
