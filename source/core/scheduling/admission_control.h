#ifndef AMARANTHLANE_CORE_SCHEDULING_ADMISSION_CONTROL_H_
#define AMARANTHLANE_CORE_SCHEDULING_ADMISSION_CONTROL_H_

#include <array>
#include <cstdint>

#include "core/scheduling/work_item.h"

namespace amaranthlane::scheduling {

// Counts the statements that a group's queue admits and refuses. Derives the rate of admitted work, and the share of
// arriving work that the entry VMs are to forward.
class AdmissionControl {
 public:
  // Counts a statement that was submitted.
  void CountArrived(Rank rank, TargetKind target);
  // Counts a statement that was refused, on admission or later.
  void CountRefused(Rank rank, TargetKind target);
  // Counts the slot time of a statement that was admitted to an endpoint's queue.
  void CountAdmitted(Rank rank, EndpointIndex endpoint, Duration slot_time, TimePoint now);
  // The slot time admitted to an endpoint's queue per unit of time, in slots, averaged over about the last half second.
  double AdmittedSlots(Rank rank, EndpointIndex endpoint, TimePoint now) const;
  // Adjusts the admission fraction to the refusals since the last call, and returns it.
  double UpdateAdmissionFraction(Rank rank, TargetKind target);

 private:
  // A sum of slot time that decays exponentially.
  struct SlotTimeMeter {
    double sum_seconds = 0.0;
    TimePoint updated;

    double SumAt(TimePoint now) const;
  };
  struct Counts {
    std::uint64_t arrived = 0;
    std::uint64_t refused = 0;
    double fraction = 1.0;
  };

  Counts& CountsOf(Rank rank, TargetKind target);

  std::array<std::array<Counts, kTargetKindCount>, kRankCount> counts;
  std::array<std::array<SlotTimeMeter, kMaxEndpoints>, kRankCount> meters;
};

}  // namespace amaranthlane::scheduling

#endif  // AMARANTHLANE_CORE_SCHEDULING_ADMISSION_CONTROL_H_
