#ifndef AMARANTHLANE_CORE_PROMOTION_PLANNED_CHANGE_H_
#define AMARANTHLANE_CORE_PROMOTION_PLANNED_CHANGE_H_

#include <cstdint>
#include <optional>

#include "core/types.h"

// A change of primary requested by an operator, or needed because the primary's instance is leaving.
namespace amaranthlane::promotion {

enum class PlannedStage : std::uint8_t {
  // Reads the group's object first, so that nothing is suspended while the platform is down.
  kReading,
  // Waits for the work running at the primary to finish.
  kDraining,
  // Waits for the target to reach the primary's last position.
  kCatchingUp,
};

struct PlannedChange {
  EndpointName target;
  // An operator waits for PlannedChangeEnded.
  bool requested_by_operator = false;
  PlannedStage stage = PlannedStage::kReading;
  // When the current stage times out.
  TimePoint deadline = kNever;
  // The primary's position after its last statement.
  std::optional<LogPosition> final_position = std::nullopt;
};

}  // namespace amaranthlane::promotion

#endif  // AMARANTHLANE_CORE_PROMOTION_PLANNED_CHANGE_H_
