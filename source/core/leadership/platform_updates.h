#ifndef AMARANTHLANE_CORE_LEADERSHIP_PLATFORM_UPDATES_H_
#define AMARANTHLANE_CORE_LEADERSHIP_PLATFORM_UPDATES_H_

#include "core/leadership/leadership_state.h"

// Conditional updates and reads of leadership records. A lost answer is settled by a read, never by assumption.
namespace amaranthlane::leadership {

// Whether an update may start: none is on its way, and the last failure lies far enough back.
bool MayUpdate(LeadershipState& state, TimePoint now, const GroupState& group);

// Sends `record` on condition that the newest version seen still stands. Fills in its update id.
void StartUpdate(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group,
                 LeadershipRecord record);

// Asks for the record unless a read is on its way or the last failure is too fresh.
void RequestRead(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group);

void HandleRecord(LeadershipState& state, const RecordSeen& event);
void HandleReadFailure(LeadershipState& state, TimePoint now, const ReadFailed& event);
void HandleUpdateAnswer(LeadershipState& state, TimePoint now, const UpdateAnswered& event);
void HandleReachability(LeadershipState& state, TimePoint now, const PlatformReachable& event);

// Counts missing answers as lost and reads the record where an update's fate is open.
void RunPlatform(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group);

}  // namespace amaranthlane::leadership

#endif  // AMARANTHLANE_CORE_LEADERSHIP_PLATFORM_UPDATES_H_
