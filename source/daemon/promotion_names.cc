#include "daemon/promotion_names.h"

#include <array>
#include <cstddef>

namespace amaranthlane::daemon {

namespace {

// Each array is in the order of its enumeration.
constexpr std::array<const char*, 7> kPhaseNames = {"starting",   "serving",  "suspecting", "draining",
                                                    "collecting", "updating", "configuring"};
constexpr std::array<const char*, 7> kWaitReasonNames = {"none",
                                                         "group object unread",
                                                         "too few instances heard",
                                                         "no instance covers every acknowledged position",
                                                         "platform unavailable",
                                                         "primary unreachable",
                                                         "target behind"};
constexpr std::array<const char*, 5> kPlannedOutcomeNames = {"done", "target-unfit", "busy", "timed-out", "overtaken"};

}  // namespace

const char* PhaseName(promotion::Phase phase) { return kPhaseNames.at(static_cast<std::size_t>(phase)); }

const char* WaitReasonName(promotion::WaitReason reason) {
  return kWaitReasonNames.at(static_cast<std::size_t>(reason));
}

const char* PlannedOutcomeName(promotion::PlannedOutcome outcome) {
  return kPlannedOutcomeNames.at(static_cast<std::size_t>(outcome));
}

}  // namespace amaranthlane::daemon
