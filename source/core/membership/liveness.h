#ifndef AMARANTHLANE_CORE_MEMBERSHIP_LIVENESS_H_
#define AMARANTHLANE_CORE_MEMBERSHIP_LIVENESS_H_

#include "core/membership/tables.h"

// Keeps the rows of the VMs: signs of life, the platform's list, and the passing of time.
namespace amaranthlane::membership {

void ApplyHeartbeat(MembershipTables& tables, TimePoint now, const Heartbeat& heartbeat);
void ApplyPlatformList(MembershipTables& tables, const PlatformListSeen& event);
void ApplyDirectPeers(MembershipTables& tables, TimePoint now, const CloseVmsChanged& event);

// Puts off the deadlines of all VMs by the time that this VM itself was paused: it couldn't have heard them.
void ExtendDeadlinesAfterPause(MembershipTables& tables, TimePoint now);

// Moves silent VMs from live over suspected to dead, and removes those that are gone.
void UpdateLiveness(MembershipTables& tables, TimePoint now);

}  // namespace amaranthlane::membership

#endif  // AMARANTHLANE_CORE_MEMBERSHIP_LIVENESS_H_
