#pragma once

#include <cstdint>
#include <iostream>
#include <rapidcheck.h>
#include <string>

namespace snipespar {

/// Checks a property with a fixed seed, so that every run tests the same cases.
template <class Property>
bool seeded_check(const std::string& name, std::uint64_t seed, int cases, Property&& property)
{
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    metadata.description = name;
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = cases;
    const auto result =
        rc::detail::checkTestable(std::forward<Property>(property), metadata, params);
    if (result.template is<rc::detail::SuccessResult>()) {
        return true;
    }
    std::cerr << name << " (seed " << seed << ")\n";
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << '\n';
    return false;
}

} // namespace snipespar
