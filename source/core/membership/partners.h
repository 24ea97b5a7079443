#ifndef AMARANTHLANE_CORE_MEMBERSHIP_PARTNERS_H_
#define AMARANTHLANE_CORE_MEMBERSHIP_PARTNERS_H_

#include "core/membership/tables.h"

// Chooses whom heartbeats go to and which entries of other VMs ride on them.
namespace amaranthlane::membership {

// This VM's entry, with or without its place and address.
DigestEntry OwnEntry(const MembershipTables& tables, bool introduce);

// Sends the heartbeats that are due.
void RunHeartbeats(MembershipTables& tables, TimePoint now);

}  // namespace amaranthlane::membership

#endif  // AMARANTHLANE_CORE_MEMBERSHIP_PARTNERS_H_
