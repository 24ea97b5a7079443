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

// The VMs that leadership ties to this one.
struct CloseVms {
  // The witnesses and successors of the groups that this VM leads.
  std::set<VmName> send_to;
  // The leaders that this VM witnesses or succeeds.
  std::set<VmName> hear_from;

  bool operator==(const CloseVms&) const = default;
};

// Decides for one VM which database groups it leads, and serves other VMs as their witness. It is pure: the daemon
// feeds it events and carries out its actions. All times are this VM's boot clock.
class LeadershipSystem {
 public:
  // `started_at`: the clock's reading at the start of this process. As a witness it is silent for the promise length
  // from then on.
  LeadershipSystem(Holder self, LeadershipSettings settings, TimePoint started_at);

  // Takes the events in, in order, and runs every system once.
  std::vector<Action> Tick(TimePoint now, std::span<const Event> events);

  // When Tick has something to do next without an event; kNever if nothing.
  TimePoint NextDeadline() const;

  // The moment at which this VM's leadership of `group` ends unless it is extended; empty when it doesn't lead. The
  // caller compares it with its clock at the moment of each act that depends on leadership, and again when the act's
  // answer is back.
  std::optional<TimePoint> ValidUntil(const GroupName& group) const;

  // The VM to pass a request for `group` to; empty when none is known. A hint: that VM checks its own validity.
  std::optional<VmName> CurrentLeader(const GroupName& group) const;

  // The VMs whose heartbeats this one needs every beat.
  CloseVms ListCloseVms() const;

  // The newest record seen; null when none. Valid until the next Tick.
  const LeadershipRecord* Record(const GroupName& group) const;

 private:
  LeadershipState state;
};

}  // namespace amaranthlane::leadership

#endif  // AMARANTHLANE_CORE_LEADERSHIP_LEADERSHIP_SYSTEM_H_
