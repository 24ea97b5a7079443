#ifndef AMARANTHLANE_CORE_LEADERSHIP_LEADERSHIP_SYSTEM_H_
#define AMARANTHLANE_CORE_LEADERSHIP_LEADERSHIP_SYSTEM_H_

#include <optional>
#include <set>
#include <span>
#include <vector>

#include "core/leadership/actions.h"
#include "core/leadership/events.h"
#include "core/leadership/leadership_state.h"
#include "core/leadership/settings.h"
#include "core/types.h"

namespace amaranthlane::leadership {

// The VMs that this one exchanges heartbeats with as a leader, witness or successor.
struct HeartbeatPeers {
  // The witnesses and successors of the groups that this VM leads.
  std::set<VmName> send_to;
  // The leaders of the groups that this VM is a witness or successor of.
  std::set<VmName> hear_from;

  bool operator==(const HeartbeatPeers&) const = default;
};

// Decides for one VM which database groups it leads, and acts as a witness for other VMs. It does no I/O: the daemon
// passes it events and executes its actions. All times are readings of this VM's boot clock.
class LeadershipSystem {
 public:
  // `started_at`: the clock reading at the start of this process. As a witness it is silent for the grant duration from
  // then on.
  LeadershipSystem(Holder self, LeadershipSettings settings, TimePoint started_at);

  // Handles the events in order, processes the groups that need it, and returns the resulting actions.
  std::vector<Action> Tick(TimePoint now, std::span<const Event> events);

  // When Tick is due next without an event; kNever if it isn't.
  TimePoint NextDeadline() const;

  // When this VM's leadership of `group` ends unless it is extended; empty when it doesn't lead. The caller compares it
  // with its clock right before each operation that depends on leadership, and again when the reply has arrived.
  std::optional<TimePoint> ValidUntil(const GroupName& group) const;

  // The VM to forward a request for `group` to; empty when none is known. A hint: that VM checks its own validity.
  std::optional<VmName> CurrentLeader(const GroupName& group) const;

  // The VMs to exchange heartbeats with at every interval.
  HeartbeatPeers ListHeartbeatPeers() const;

  // The newest record seen; null when none. Valid until the next Tick.
  const LeadershipRecord* Record(const GroupName& group) const;

 private:
  LeadershipState state;
};

}  // namespace amaranthlane::leadership

#endif  // AMARANTHLANE_CORE_LEADERSHIP_LEADERSHIP_SYSTEM_H_
