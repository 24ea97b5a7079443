#ifndef AMARANTHLANE_METRICS_PROCESS_MEMORY_H_
#define AMARANTHLANE_METRICS_PROCESS_MEMORY_H_

#include <cstddef>

namespace amaranthlane::metrics {

// The memory of this process, in bytes.
struct ProcessMemory {
  // In physical memory; 0 if the system doesn't tell.
  std::size_t resident = 0;
  // Allocated by the program, and kept by the allocator for later allocations.
  std::size_t allocated = 0;
  std::size_t kept_by_allocator = 0;
};

ProcessMemory ReadProcessMemory();

}  // namespace amaranthlane::metrics

#endif  // AMARANTHLANE_METRICS_PROCESS_MEMORY_H_
