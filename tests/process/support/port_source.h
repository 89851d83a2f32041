#pragma once

#include <cstdint>
#include <vector>

namespace snipespar::testing {

/// Hands out loopback ports below the kernel's ephemeral range, from blocks that no other source
/// holds, in this or any other process that shares the loopback interface. Used by one thread.
class port_source {
public:
    port_source() = default;
    port_source(const port_source&) = delete;
    port_source& operator=(const port_source&) = delete;

    /// Gives up the blocks.
    ~port_source();

    /// A port that is unused on 127.0.0.1; never the same twice. Throws std::runtime_error when
    /// other sources hold all blocks.
    std::uint16_t next();

private:
    bool take(std::uint32_t block);
    void take_block();

    std::uint32_t next_ = 0;
    std::uint32_t end_ = 0;
    /// Sockets whose names are those of the blocks.
    std::vector<int> guards_;
};

} // namespace snipespar::testing
