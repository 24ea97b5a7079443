#include "common/boot_clock.h"

#include <ctime>

namespace amaranthlane {

BootClock::time_point BootClock::now() noexcept {
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return time_point(std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec));
}

}  // namespace amaranthlane
