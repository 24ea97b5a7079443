#ifndef AMARANTHLANE_CORE_MEMBERSHIP_MEMBERSHIP_SYSTEM_H_
#define AMARANTHLANE_CORE_MEMBERSHIP_MEMBERSHIP_SYSTEM_H_

#include <map>
#include <span>
#include <vector>

#include "core/membership/tables.h"
#include "core/types.h"

namespace amaranthlane::membership {

// Maintains one VM's table of the other VMs. Does no I/O: the daemon passes in events and carries out the actions.
class MembershipSystem {
 public:
  MembershipSystem(Self self, MembershipSettings settings, TimePoint started_at);

  // Applies the events in order, and sends the heartbeats that are due.
  std::vector<Action> Tick(TimePoint now, std::span<const Event> events);

  // The time at which Tick has work to do even without an event.
  TimePoint NextDeadline() const;

  // All known VMs except this one, by name.
  const std::map<VmName, VmRow>& Vms() const { return this->tables.vms; }

  // The reply to a heartbeat: this VM's own entry, without a digest. It carries this VM's address if the heartbeat
  // carried the sender's.
  Heartbeat ReplyTo(const Heartbeat& heartbeat) const;

 private:
  MembershipTables tables;
};

}  // namespace amaranthlane::membership

#endif  // AMARANTHLANE_CORE_MEMBERSHIP_MEMBERSHIP_SYSTEM_H_
