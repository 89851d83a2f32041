#include "cli/setting.h"

#include <absl/strings/ascii.h>
#include <algorithm>

namespace snipespar::cli {

std::string flag_of(const setting& item)
{
    return "--" + std::string(item.name);
}

std::string variable_of(const setting& item)
{
    std::string name = absl::AsciiStrToUpper(std::string(item.name));
    std::replace(name.begin(), name.end(), '-', '_');
    return "SNIPESPAR_" + name;
}

} // namespace snipespar::cli
