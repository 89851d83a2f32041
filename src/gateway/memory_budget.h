#pragma once

#include <cstddef>

namespace snipespar::gateway {

/// Bounds the memory that a process holds for others: requests being received, answers that are
/// kept, and bytes that callers have not read.
class memory_budget {
public:
    /// `limit` in bytes.
    explicit memory_budget(std::size_t limit) : limit_(limit) {}

    /// Takes bytes; false if fewer are left.
    bool try_take(std::size_t bytes);

    /// Takes bytes, also beyond the limit.
    void take(std::size_t bytes) { used_ += bytes; }

    void give_back(std::size_t bytes) { used_ -= bytes; }

    std::size_t used() const { return used_; }

    /// Whether so little is left that it is kept for what is in progress.
    bool is_scarce() const;

private:
    std::size_t limit_;
    std::size_t used_ = 0;
};

} // namespace snipespar::gateway
