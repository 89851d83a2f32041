#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace snipespar {

/// A pointer to an immutable value that one thread replaces and others read. It is guarded by a
/// mutex, because ThreadSanitizer reports a data race in the standard library's atomic pointers.
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
