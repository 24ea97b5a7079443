#ifndef AMARANTHLANE_CORE_LEADERSHIP_CANDIDATE_H_
#define AMARANTHLANE_CORE_LEADERSHIP_CANDIDATE_H_

#include "core/leadership/leadership_state.h"

// The candidate: notices that a group lacks a leader and has this VM create, take over or raise its epoch in turn.
namespace amaranthlane::leadership {

// Chooses anew who creates missing records; to be called when the VMs or the groups have changed.
void RefreshPreferredLeaders(LeadershipState& state);

// Follows the record: holds what it gives to this process, and drops what it has given to another.
void RunRecord(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group);

// Takes part in filling a vacancy when this VM's turn has come.
void RunCandidate(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group);

// Writes what a leader owes to the platform: the epoch it holds since an outage, the closed epochs, better witnesses.
void RunLeaderUpdates(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group);

}  // namespace amaranthlane::leadership

#endif  // AMARANTHLANE_CORE_LEADERSHIP_CANDIDATE_H_
