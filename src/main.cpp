#include <fmt/core.h>

int main()
{
    fmt::print("snipespar {}\n", SNIPESPAR_VERSION);
}
