#ifndef AMARANTHLANE_CORE_MEMBERSHIP_HEARTBEAT_SENDER_H_
#define AMARANTHLANE_CORE_MEMBERSHIP_HEARTBEAT_SENDER_H_

#include "core/membership/tables.h"

// Chooses the receivers of heartbeats, and the entries of other VMs that heartbeats carry.
namespace amaranthlane::membership {

// This VM's entry, with or without its location and address.
DigestEntry OwnEntry(const MembershipTables& tables, bool with_address);

void SendDueHeartbeats(MembershipTables& tables, TimePoint now);

}  // namespace amaranthlane::membership

#endif  // AMARANTHLANE_CORE_MEMBERSHIP_HEARTBEAT_SENDER_H_
