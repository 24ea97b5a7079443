#ifndef AMARANTHLANE_TESTS_PLATFORM_HEAP_METER_H_
#define AMARANTHLANE_TESTS_PLATFORM_HEAP_METER_H_

#include <cstddef>

namespace amaranthlane::testing {

// Counts the bytes that this process has allocated with `new` and not yet released. A program that links heap_meter.cc
// is counted as a whole.
class HeapMeter {
 public:
  // Counts from now on.
  HeapMeter();

  // The most bytes beyond those at the start of the count that were allocated at the same time, or are now.
  std::size_t PeakBytes() const;
  std::size_t CurrentBytes() const;

 private:
  std::size_t bytes_at_start;
};

}  // namespace amaranthlane::testing

#endif  // AMARANTHLANE_TESTS_PLATFORM_HEAP_METER_H_
