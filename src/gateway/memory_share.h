#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace snipespar::gateway {

class memory_budget;

/// Bytes of a budget held by one owner, given back with the object. Every owner has a few bytes
/// outside the budget, so that small requests pass while large ones use it up.
class memory_share {
public:
    explicit memory_share(std::shared_ptr<memory_budget> budget) : budget_(std::move(budget)) {}
    memory_share(memory_share&& other) noexcept
        : budget_(std::move(other.budget_)), taken_(std::exchange(other.taken_, 0))
    {
    }
    memory_share& operator=(memory_share&& other) noexcept;
    memory_share(const memory_share&) = delete;
    memory_share& operator=(const memory_share&) = delete;
    ~memory_share() { release(); }

    /// Changes the share to what an owner of so many bytes needs. Returns false, without a change,
    /// if the budget has too little left.
    bool try_resize(std::size_t bytes);

    /// Changes the share, also beyond the budget.
    void resize(std::size_t bytes);

    void release() { resize(0); }

private:
    std::shared_ptr<memory_budget> budget_;
    std::size_t taken_ = 0;
};

} // namespace snipespar::gateway
