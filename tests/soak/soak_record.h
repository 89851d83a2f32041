#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace snipespar::testing {

/// What one caller sent and got. Status 0: no whole answer came.
struct soak_call {
    std::string target;
    std::string body;
    unsigned status = 0;
    std::string answer;
};

/// What callers saw in one soak, checked against what the upstreams say that they ran.
class soak_record {
public:
    /// A call is about to be sent.
    void on_sent(const std::string& id, const std::string& target, const std::string& body);
    void on_answer(const std::string& id, unsigned status, const std::string& answer);

    /// Checks all promises. `upstream_outputs` holds the output of every upstream process that ever
    /// ran. Returns one line a broken promise.
    std::vector<std::string> check(const std::vector<std::string>& upstream_outputs) const;

    /// Calls by status.
    std::map<unsigned, int> totals() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, soak_call> calls_;
};

/// The answer that the stand-ins give to a call.
std::string expected_answer(const std::string& id, const std::string& target,
                            const std::string& body);

} // namespace snipespar::testing
