#pragma once

#include "support/http_probe.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace snipespar::testing {

/// What became of each request, as its caller and the upstreams saw it. Any thread may use it.
class request_ledger {
public:
    /// The caller's view: the complete answer, or none if the connection ended without one.
    void on_answer(const std::string& id, bool is_unsafe, const std::optional<http_reply>& answer);

    /// An upstream has run the request.
    void on_run(const std::string& id);

    /// One line for each broken promise: a request that ran and got no answer, a refusal of a
    /// request that ran, an unsafe request that ran twice, an answer that is not the request's own.
    /// `may_lose`: a request that ran may end without an answer, as gateways were killed.
    std::vector<std::string> broken_promises(bool may_lose) const;

    std::size_t requests() const;

    /// Requests answered with a success.
    std::size_t served() const;

private:
    struct entry {
        bool is_unsafe = false;
        /// 0 if the connection ended without a complete answer.
        unsigned status = 0;
        bool is_own_answer = true;
        int runs = 0;
    };

    mutable std::mutex mutex_;
    std::map<std::string, entry> entries_;
};

} // namespace snipespar::testing
