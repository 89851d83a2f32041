#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace snipespar {

/// A pointer to an immutable value that one thread replaces and others read. A mutex guards it,
/// because the standard library's atomic pointers are a data race under the thread sanitizer.
template <class Value>
class shared_snapshot {
public:
    using pointer = std::shared_ptr<const Value>;

    pointer load() const
    {
        const std::lock_guard lock(mutex_);
        return value_;
    }

    void store(pointer value)
    {
        const std::lock_guard lock(mutex_);
        value_.swap(value);
    }

private:
    mutable std::mutex mutex_;
    pointer value_;
};

} // namespace snipespar
