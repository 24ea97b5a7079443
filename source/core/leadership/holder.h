#ifndef AMARANTHLANE_CORE_LEADERSHIP_HOLDER_H_
#define AMARANTHLANE_CORE_LEADERSHIP_HOLDER_H_

#include <cstdint>

#include "core/leadership/leadership_state.h"

// The holder: has lower ballots closed, collects promises, renews them, and ends its leadership at the deadline.
namespace amaranthlane::leadership {

// Starts to hold the record's epoch, which names this process.
void BeginDecidedEpoch(HolderState& holder, const LeadershipRecord& record);

// Starts to take over as the successor of `rank`, 1 for the first, without the platform.
void BeginTakeover(HolderState& holder, const LeadershipRecord& record, std::uint32_t rank);

// Starts to ask the record's witnesses whether they hear from a holder.
void BeginProbing(HolderState& holder, const LeadershipRecord& record);

// Whether a majority of the record's witnesses heard from no holder lately.
bool ProbeSucceeded(const LeadershipState& state, TimePoint now, const HolderState& holder);

void HandlePromiseAnswer(LeadershipState& state, TimePoint now, const PromiseAnswerReceived& event);
void HandleCloseAnswer(LeadershipState& state, TimePoint now, const CloseAnswerReceived& event);

// Ends a leadership whose validity has passed. Runs before the events of a tick are taken in.
void ExpireLeadership(LeadershipState& state, TimePoint now);

// Sends the close and promise requests that are due.
void RunHolder(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group);

// Gives the group up for good and starts to tell the witnesses.
void ReleaseGroup(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group);

// Sends the promise requests that the tick has collected, one message a witness.
void FlushPromiseRequests(LeadershipState& state, TimePoint now);

}  // namespace amaranthlane::leadership

#endif  // AMARANTHLANE_CORE_LEADERSHIP_HOLDER_H_
