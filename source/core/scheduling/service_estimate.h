#ifndef AMARANTHLANE_CORE_SCHEDULING_SERVICE_ESTIMATE_H_
#define AMARANTHLANE_CORE_SCHEDULING_SERVICE_ESTIMATE_H_

#include "common/boot_clock.h"

namespace amaranthlane::scheduling {

// A moving estimate of the time that one endpoint takes to serve a statement of one rank. Without new samples it fades
// towards the initial assumption, if it is above that, so that one slow spell can't get all later work refused for
// good.
class ServiceEstimate {
 public:
  // Sets what is assumed before the first sample.
  void Reset(Duration initial);
  // Takes in the time that a statement took, from dispatch to answer.
  void Add(Duration sample, TimePoint now);
  // The expected time of service at `now`.
  Duration Expected(TimePoint now) const;

 private:
  Duration initial = Duration::zero();
  Duration mean = Duration::zero();
  TimePoint updated;
  bool has_sample = false;
};

}  // namespace amaranthlane::scheduling

#endif  // AMARANTHLANE_CORE_SCHEDULING_SERVICE_ESTIMATE_H_
