#ifndef AMARANTHLANE_CORE_LEADERSHIP_PLATFORM_UPDATES_H_
#define AMARANTHLANE_CORE_LEADERSHIP_PLATFORM_UPDATES_H_

#include "core/leadership/tables.h"

// Conditional updates and reads of leadership records. A lost answer is settled by a read, never by assumption.
namespace amaranthlane::leadership {

// Whether an update may start: none is on its way, and the last failure lies far enough back.
bool MayUpdate(LeadershipTables& tables, TimePoint now, const GroupRow& group);

// Sends `record` on condition that the newest version seen still stands. Fills in its update id.
void StartUpdate(LeadershipTables& tables, TimePoint now, const GroupName& name, GroupRow& group,
                 LeadershipRecord record);

// Asks for the record unless a read is on its way or the last failure is too fresh.
void RequestRead(LeadershipTables& tables, TimePoint now, const GroupName& name, GroupRow& group);

void TakeRecord(LeadershipTables& tables, const RecordSeen& event);
void TakeReadFailure(LeadershipTables& tables, TimePoint now, const ReadFailed& event);
void TakeUpdateAnswer(LeadershipTables& tables, TimePoint now, const UpdateAnswered& event);
void TakeReachability(LeadershipTables& tables, TimePoint now, const PlatformReachable& event);

// Counts missing answers as lost and reads the record where an update's fate is open.
void RunPlatform(LeadershipTables& tables, TimePoint now, const GroupName& name, GroupRow& group);

}  // namespace amaranthlane::leadership

#endif  // AMARANTHLANE_CORE_LEADERSHIP_PLATFORM_UPDATES_H_
