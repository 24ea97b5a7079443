#ifndef AMARANTHLANE_DAEMON_PROMOTION_NAMES_H_
#define AMARANTHLANE_DAEMON_PROMOTION_NAMES_H_

#include "core/promotion/messages.h"

// The names of promotion states, as logs and the interface for operators show them.
namespace amaranthlane::daemon {

const char* PhaseName(promotion::Phase phase);
const char* WaitReasonName(promotion::WaitReason reason);
const char* PlannedOutcomeName(promotion::PlannedOutcome outcome);

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_PROMOTION_NAMES_H_
