#pragma once

#include <cstdint>

namespace snipespar::route {

/// Bounds of a retry budget.
struct retry_budget_limits {
    /// Retries earned by each request, as a fraction of one retry.
    double retries_per_request = 0.2;
    /// Retries that may be saved up; also the amount at the start. Large enough that the streams
    /// of one lost upstream can all resume elsewhere.
    double capacity = 256;

    friend bool operator==(const retry_budget_limits&, const retry_budget_limits&) = default;
};

/// Token bucket shared by every request of one entry. It keeps retries a bounded fraction of the
/// requests, so that failures cannot multiply the load on the upstreams that are left.
class retry_budget {
public:
    explicit retry_budget(retry_budget_limits limits = {});

    /// Changes the bounds; what is saved up beyond a lower capacity is lost.
    void set_limits(retry_budget_limits limits);

    /// Earns the part of a retry that one new request brings.
    void on_request();

    /// Takes one retry; false when none is left.
    bool try_take();

    /// Retries that are left now.
    double available() const { return available_; }

    /// Retries refused since the start.
    std::uint64_t refused() const { return refused_; }

private:
    retry_budget_limits limits_;
    double available_;
    std::uint64_t refused_ = 0;
};

} // namespace snipespar::route
