#pragma once

#include <cstdint>

namespace snipespar::route {

/// Limits of a retry budget.
struct retry_budget_limits {
    /// Retries earned by each request, as a fraction of one retry.
    double retries_per_request = 0.2;
    /// Maximum number of accumulated retries, and their initial number. Large enough that all
    /// streams of one lost upstream can resume elsewhere.
    double capacity = 256;

    friend bool operator==(const retry_budget_limits&, const retry_budget_limits&) = default;
};

/// Token bucket shared by all requests of one entry. It limits retries to a fraction of the
/// requests, so that failures cannot multiply the load on the remaining upstreams.
class retry_budget {
public:
    explicit retry_budget(retry_budget_limits limits = {});

    /// Sets the limits; accumulated retries above the new capacity are discarded.
    void set_limits(retry_budget_limits limits);

    /// Adds the fraction of a retry earned by a new request.
    void on_request();

    /// Takes one retry; returns false if none is available.
    bool try_take();

    /// Number of available retries.
    double available() const { return available_; }

    /// Retries refused since the start.
    std::uint64_t refused() const { return refused_; }

private:
    retry_budget_limits limits_;
    double available_;
    std::uint64_t refused_ = 0;
};

} // namespace snipespar::route
