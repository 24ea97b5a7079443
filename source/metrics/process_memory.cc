#include "metrics/process_memory.h"

#include <malloc.h>
#include <unistd.h>

#include <fstream>

namespace amaranthlane::metrics {

ProcessMemory ReadProcessMemory() {
  ProcessMemory memory;
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  if (std::ifstream("/proc/self/statm") >> total_pages >> resident_pages) {
    memory.resident = resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  }
  const struct mallinfo2 heap = mallinfo2();
  memory.allocated = heap.uordblks + heap.hblkhd;
  memory.kept_by_allocator = heap.fordblks;
  return memory;
}

}  // namespace amaranthlane::metrics
