#ifndef AMARANTHLANE_CORE_SCHEDULING_ADMISSION_CONTROL_H_
#define AMARANTHLANE_CORE_SCHEDULING_ADMISSION_CONTROL_H_

#include <array>
#include <cstdint>

#include "core/types.h"

namespace amaranthlane::scheduling {

// Counts what a group's queue admits and refuses, by rank, and derives the rate of admitted work and the share of
// arriving work that the entry VMs are to pass on.
class AdmissionControl {
 public:
  // Counts a statement that arrived with `expected_service`.
  void CountAdmitted(Rank rank, Duration expected_service, TimePoint now);
  // Counts a statement that was refused on admission or later.
  void CountRefused(Rank rank);
  // The slot time admitted per unit of time, in slots, over the last second or so.
  double AdmittedSlots(Rank rank, TimePoint now) const;
  // Moves the admission fraction of `rank` by what was refused since the last call, and returns it.
  double NextFraction(Rank rank);

 private:
  struct RankCounts {
    // Fading sum of admitted slot time, in seconds, as of `updated`.
    double admitted_seconds = 0.0;
    TimePoint updated;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    double fraction = 1.0;
  };

  std::array<RankCounts, kRankCount> ranks;
};

}  // namespace amaranthlane::scheduling

#endif  // AMARANTHLANE_CORE_SCHEDULING_ADMISSION_CONTROL_H_
