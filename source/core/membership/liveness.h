#ifndef AMARANTHLANE_CORE_MEMBERSHIP_LIVENESS_H_
#define AMARANTHLANE_CORE_MEMBERSHIP_LIVENESS_H_

#include "core/membership/tables.h"

// Maintains the rows of the VMs from heartbeats, the platform's list and the passing of time.
namespace amaranthlane::membership {

void ApplyHeartbeat(MembershipTables& tables, TimePoint now, const Heartbeat& heartbeat);
void ApplyPlatformList(MembershipTables& tables, const PlatformListReceived& event);
void ApplyHeartbeatPeers(MembershipTables& tables, TimePoint now, const HeartbeatPeersChanged& event);

// Extends the deadlines of all VMs by the time for which this VM itself was paused and could not receive heartbeats.
void ExtendDeadlinesAfterPause(MembershipTables& tables, TimePoint now);

// Moves silent VMs from live through suspected to dead, and removes those that are gone.
void UpdateLiveness(MembershipTables& tables, TimePoint now);

}  // namespace amaranthlane::membership

#endif  // AMARANTHLANE_CORE_MEMBERSHIP_LIVENESS_H_
