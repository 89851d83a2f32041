#pragma once

// The address sanitizer's runtime opens files and pipes for its own checks, and ends a process that
// has no free descriptor.
#if defined(__has_feature)
#if __has_feature(address_sanitizer)
#define SNIPESPAR_TEST_NEEDS_DESCRIPTORS 1
#endif
#endif
