#include "metrics/process_memory.h"

#include <gtest/gtest.h>

#include <vector>

namespace amaranthlane::metrics {
namespace {

TEST(ProcessMemory, ShowsWhatTheProcessTakes) {
  constexpr std::size_t kBytes = 32U << 20U;
  const ProcessMemory before = ReadProcessMemory();
  const std::vector<char> block(kBytes, 'x');
  const ProcessMemory after = ReadProcessMemory();
  EXPECT_GE(after.resident, before.resident + kBytes / 2);
  EXPECT_EQ(block.back(), 'x');
}

}  // namespace
}  // namespace amaranthlane::metrics
