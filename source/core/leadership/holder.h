#ifndef AMARANTHLANE_CORE_LEADERSHIP_HOLDER_H_
#define AMARANTHLANE_CORE_LEADERSHIP_HOLDER_H_

#include <cstdint>

#include "core/leadership/tables.h"

// The holder: has lower ballots closed, collects promises, renews them, and ends its leadership at the deadline.
namespace amaranthlane::leadership {

// Starts to hold the record's epoch, which names this process.
void BeginDecided(HolderRow& holder, const LeadershipRecord& record);

// Starts to take over as the successor of `rank`, 1 for the first, without the platform.
void BeginTakeover(HolderRow& holder, const LeadershipRecord& record, std::uint32_t rank);

// Starts to ask the record's witnesses whether they hear from a holder.
void BeginProbing(HolderRow& holder, const LeadershipRecord& record);

// Whether a majority of the record's witnesses heard from no holder lately.
bool ProbeSucceeded(const LeadershipTables& tables, TimePoint now, const HolderRow& holder);

void TakePromiseAnswer(LeadershipTables& tables, TimePoint now, const PromiseAnswerReceived& event);
void TakeCloseAnswer(LeadershipTables& tables, TimePoint now, const CloseAnswerReceived& event);

// Ends a leadership whose validity has passed. Runs before the events of a tick are taken in.
void ExpireLeadership(LeadershipTables& tables, TimePoint now);

// Sends the close and promise requests that are due.
void RunHolder(LeadershipTables& tables, TimePoint now, const GroupName& name, GroupRow& group);

// Gives the group up for good and starts to tell the witnesses.
void ReleaseGroup(LeadershipTables& tables, TimePoint now, const GroupName& name, GroupRow& group);

// Sends the promise requests that the tick has collected, one message a witness.
void FlushPromiseRequests(LeadershipTables& tables, TimePoint now);

}  // namespace amaranthlane::leadership

#endif  // AMARANTHLANE_CORE_LEADERSHIP_HOLDER_H_
