#ifndef AMARANTHLANE_COMMON_BOOT_CLOCK_H_
#define AMARANTHLANE_COMMON_BOOT_CLOCK_H_

#include <chrono>

namespace amaranthlane {

// The monotonic clock of this VM, which includes the time that the VM was suspended. Lease deadlines use this clock, so
// that a process that resumes after a pause sees at once that its deadlines have passed. Readings of different VMs are
// never compared.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming): required by the clock concept

  // Reads CLOCK_BOOTTIME, with a resolution of nanoseconds.
  static time_point now() noexcept;
};

using TimePoint = BootClock::time_point;
using Duration = BootClock::duration;

// A deadline that is never reached.
inline constexpr TimePoint kNever = TimePoint::max();

}  // namespace amaranthlane

#endif  // AMARANTHLANE_COMMON_BOOT_CLOCK_H_
