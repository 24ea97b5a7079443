#ifndef AMARANTHLANE_CORE_PROMOTION_PLANNED_CHANGE_H_
#define AMARANTHLANE_CORE_PROMOTION_PLANNED_CHANGE_H_

#include <cstdint>
#include <optional>

#include "core/types.h"

// A change of primary that an operator or a leaving primary asked for.
namespace amaranthlane::promotion {

enum class PlannedStage : std::uint8_t {
  // Reads the group's object: while the platform is down nothing is suspended.
  kReading,
  // Waits for the primary's running work.
  kDraining,
  // Waits for the target to hold the primary's full position.
  kCatchingUp,
};

struct PlannedChange {
  EndpointName target;
  // An operator awaits PlannedChangeEnded.
  bool requested_by_operator = false;
  PlannedStage stage = PlannedStage::kReading;
  // When the current stage is given up.
  TimePoint deadline = kNever;
  // The primary's position after its last statement.
  std::optional<LogPosition> final_position = std::nullopt;
};

}  // namespace amaranthlane::promotion

#endif  // AMARANTHLANE_CORE_PROMOTION_PLANNED_CHANGE_H_
