#pragma once

namespace snipespar::testing {

class child_process;

/// Whether the memory of a process can be compared with a bound: sanitizers keep freed memory and
/// shadows of their own.
extern const bool is_memory_comparable;

/// Largest resident size of the process so far, in kB; 0 if it is not running.
long peak_memory_kb(const child_process& process);

} // namespace snipespar::testing
