#ifndef AMARANTHLANE_CORE_LEADERSHIP_CANDIDATE_H_
#define AMARANTHLANE_CORE_LEADERSHIP_CANDIDATE_H_

#include "core/leadership/leadership_state.h"

// The candidate's part: detects that a group has no leader and, in the order of candidates, creates its record, takes
// over, or raises its epoch.
namespace amaranthlane::leadership {

// Chooses again which VMs create missing records. Must be called when the VMs or the groups have changed.
void RefreshPreferredLeaders(LeadershipState& state);

// Follows the record: starts to hold an epoch that names this process, and gives up a claim when a later epoch names
// another.
void RunRecord(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group);

// Starts to fill a vacancy once this VM's delay in the order of candidates has passed.
void RunCandidate(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group);

// Writes the leader's pending changes to the record: a new epoch after a takeover during an outage, the removal of
// closed epochs, and the replacement of unusable witnesses or successors.
void RunLeaderUpdates(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group);

}  // namespace amaranthlane::leadership

#endif  // AMARANTHLANE_CORE_LEADERSHIP_CANDIDATE_H_
