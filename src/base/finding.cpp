#include "snipespar/finding.h"

namespace snipespar {

std::string to_string(const findings& list)
{
    std::string text;
    for (const auto& item : list) {
        text += item.place;
        text += ": ";
        text += item.message;
        text += '\n';
    }
    return text;
}

} // namespace snipespar
