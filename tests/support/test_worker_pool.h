#pragma once

#include "support/test_verdicts.h"

#include <cstddef>
#include <string_view>

namespace snipespar {

/// Runs each test whose name contains `only` in a child process of its own, at most `jobs` at a
/// time, and prints the output of each child whole, in the order of the tests. A test fails if its
/// child reports a failure, ends by a signal, or exits with another code than success, such as
/// after a leak. Must be called while the process has one thread and before it has made a
/// selection, as children would share the descriptors of its fixtures.
///
/// Tests whose name contains `first`, unless that is empty, are started before the others.
test_verdicts run_in_workers(std::string_view only, std::string_view first, std::size_t jobs);

/// Runs these tests one after the other in this process.
test_verdicts run_in_turn(std::string_view only);

} // namespace snipespar
