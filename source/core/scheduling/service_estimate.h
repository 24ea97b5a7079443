#ifndef AMARANTHLANE_CORE_SCHEDULING_SERVICE_ESTIMATE_H_
#define AMARANTHLANE_CORE_SCHEDULING_SERVICE_ESTIMATE_H_

#include "common/boot_clock.h"

namespace amaranthlane::scheduling {

// A moving average of the time that one endpoint takes to serve a statement of one rank. Without new samples, an
// estimate above the initial value decays towards it, so that one slow period can't cause later work to be refused
// forever.
class ServiceEstimate {
 public:
  // Discards all samples and sets the estimate that holds until the first one.
  void Reset(Duration initial);
  // Adds the time that a statement took from dispatch to answer.
  void Add(Duration sample, TimePoint now);
  // The expected service time at `now`.
  Duration Expected(TimePoint now) const;

 private:
  Duration initial = Duration::zero();
  Duration mean = Duration::zero();
  TimePoint updated;
  bool has_sample = false;
};

}  // namespace amaranthlane::scheduling

#endif  // AMARANTHLANE_CORE_SCHEDULING_SERVICE_ESTIMATE_H_
