#ifndef AMARANTHLANE_CORE_MEMBERSHIP_HEARTBEAT_SENDER_H_
#define AMARANTHLANE_CORE_MEMBERSHIP_HEARTBEAT_SENDER_H_

#include "core/membership/tables.h"

// Chooses whom heartbeats go to and which entries of other VMs ride on them.
namespace amaranthlane::membership {

// This VM's entry, with or without its place and address.
DigestEntry OwnEntry(const MembershipTables& tables, bool with_address);

// Sends the heartbeats that are due.
void SendDueHeartbeats(MembershipTables& tables, TimePoint now);

}  // namespace amaranthlane::membership

#endif  // AMARANTHLANE_CORE_MEMBERSHIP_HEARTBEAT_SENDER_H_
