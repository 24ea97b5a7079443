#ifndef AMARANTHLANE_CORE_LEADERSHIP_HOLDER_H_
#define AMARANTHLANE_CORE_LEADERSHIP_HOLDER_H_

#include <cstdint>

#include "core/leadership/leadership_state.h"

// The holder's part: has lower ballots closed, obtains and renews lease grants, and ends its leadership when they
// expire.
namespace amaranthlane::leadership {

// Starts to hold the record's epoch, which names this process.
void BeginDecidedEpoch(HolderState& holder, const LeadershipRecord& record);

// Starts a takeover as the successor of `rank`, 1 for the first. It needs no platform.
void BeginTakeover(HolderState& holder, const LeadershipRecord& record, std::uint32_t rank);

// Starts to ask the record's witnesses whether they know of a live holder.
void BeginProbing(HolderState& holder, const LeadershipRecord& record);

// Whether a majority of the record's witnesses has recently reported no live holder.
bool ProbeSucceeded(const LeadershipState& state, TimePoint now, const HolderState& holder);

void HandleGrantReply(LeadershipState& state, TimePoint now, const GrantReplyReceived& event);
void HandleCloseReply(LeadershipState& state, TimePoint now, const CloseReplyReceived& event);

// Ends each leadership whose validity has passed. Runs before the events of a tick are handled.
void ExpireLeadership(LeadershipState& state, TimePoint now);

// Sends the close and grant requests that are due.
void RunHolder(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group);

// Gives up the group permanently and starts to inform the witnesses.
void ReleaseGroup(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group);

// Sends the grant requests that the tick has collected, one message for each witness.
void FlushGrantRequests(LeadershipState& state, TimePoint now);

}  // namespace amaranthlane::leadership

#endif  // AMARANTHLANE_CORE_LEADERSHIP_HOLDER_H_
