#pragma once

#include "gateway/route_rule.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snipespar::gateway {

/// Routes by host, which versions of the configuration may share.
class route_index {
public:
    void add(std::shared_ptr<const route_rule> route);

    /// The route of the host with the longest matching path prefix, or null. `path` excludes the
    /// query.
    const route_rule* find(std::string_view host, std::string_view path) const;

    std::size_t size() const { return size_; }

private:
    struct text_hash {
        using is_transparent = void;

        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>()(text);
        }
    };

    /// Longest prefix first.
    using host_routes = std::vector<std::shared_ptr<const route_rule>>;

    std::unordered_map<std::string, host_routes, text_hash, std::equal_to<>> hosts_;
    std::size_t size_ = 0;
};

} // namespace snipespar::gateway
