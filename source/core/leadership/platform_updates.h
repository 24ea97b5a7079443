#ifndef AMARANTHLANE_CORE_LEADERSHIP_PLATFORM_UPDATES_H_
#define AMARANTHLANE_CORE_LEADERSHIP_PLATFORM_UPDATES_H_

#include "core/leadership/leadership_state.h"

// Conditional updates and reads of leadership records. Whether an unanswered update took effect is determined by a
// read, never assumed.
namespace amaranthlane::leadership {

// Whether an update may start: none is in flight, and the interval since the last attempt has passed.
bool MayUpdate(LeadershipState& state, TimePoint now, const GroupState& group);

// Sends `record` on the condition that the object still has the newest version seen. Sets its update id.
void StartUpdate(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group,
                 LeadershipRecord record);

// Requests the record unless a read is in flight or the interval since the last attempt hasn't passed.
void RequestRead(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group);

void HandleRecord(LeadershipState& state, const RecordSeen& event);
void HandleReadFailure(LeadershipState& state, TimePoint now, const ReadFailed& event);
void HandleUpdateCompleted(LeadershipState& state, TimePoint now, const UpdateCompleted& event);
void HandleReachability(LeadershipState& state, TimePoint now, const PlatformReachable& event);

// Times out unanswered requests. Reads the record while the outcome of an update is unknown, or while this restarted
// witness has yet to learn what it had closed.
void RunPlatform(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group);

}  // namespace amaranthlane::leadership

#endif  // AMARANTHLANE_CORE_LEADERSHIP_PLATFORM_UPDATES_H_
