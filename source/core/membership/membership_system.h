#ifndef AMARANTHLANE_CORE_MEMBERSHIP_MEMBERSHIP_SYSTEM_H_
#define AMARANTHLANE_CORE_MEMBERSHIP_MEMBERSHIP_SYSTEM_H_

#include <map>
#include <span>
#include <vector>

#include "core/membership/tables.h"
#include "core/types.h"

namespace amaranthlane::membership {

// Keeps the table of VMs for one VM. It is pure: the daemon feeds it events and carries out its actions.
class MembershipSystem {
 public:
  MembershipSystem(Self self, MembershipSettings settings, TimePoint started_at);

  // Takes the events in, in order, and sends the heartbeats that are due.
  std::vector<Action> Tick(TimePoint now, std::span<const Event> events);

  // When Tick has something to do next without an event.
  TimePoint NextDeadline() const;

  // All known VMs but this one, by name.
  const std::map<VmName, VmRow>& Vms() const { return this->tables.vms; }

  // The answer to a heartbeat: this VM's own, without a digest. It introduces this VM when the asker introduced itself.
  Heartbeat AnswerTo(const Heartbeat& heartbeat) const;

 private:
  MembershipTables tables;
};

}  // namespace amaranthlane::membership

#endif  // AMARANTHLANE_CORE_MEMBERSHIP_MEMBERSHIP_SYSTEM_H_
