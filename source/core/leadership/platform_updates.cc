#include "core/leadership/platform_updates.h"

#include <algorithm>
#include <string>
#include <utility>

#include "core/leadership/witness.h"

namespace amaranthlane::leadership {

namespace {

// How much rarer attempts are while the platform is known to be unreachable.
constexpr int kUnreachableFactor = 4;

Duration AttemptInterval(const LeadershipTables& tables) {
  return tables.platform_reachable ? tables.settings.platform_retry
                                   : tables.settings.platform_retry * kUnreachableFactor;
}

std::string NextUpdateId(LeadershipTables& tables) {
  ++tables.update_counter;
  return tables.self.vm + "-" + std::to_string(tables.self.incarnation) + "-" + std::to_string(tables.update_counter);
}

// An update whose answer was lost is settled by any newer version, which it lost against or is itself. A read that
// still shows the version it expected settles it too: both it and its retry expect that version, so one of them at most
// takes effect.
void SettleUpdate(GroupRow& group, const RecordSeen& event) {
  if (!group.update || event.source != RecordSource::kPlatform) {
    return;
  }
  const bool newer = event.version > group.update->expected_version;
  const bool unchanged = event.version == group.update->expected_version && group.update->reading;
  if (newer || unchanged) {
    group.update.reset();
  }
}

}  // namespace

bool MayUpdate(LeadershipTables& tables, TimePoint now, const GroupRow& group) {
  return !group.update && tables.IsDue(now, group.next_platform_attempt);
}

void StartUpdate(LeadershipTables& tables, TimePoint now, const GroupName& name, GroupRow& group,
                 LeadershipRecord record) {
  record.update_id = NextUpdateId(tables);
  PendingUpdate update{.expected_version = group.record ? group.version : 0,
                       .record = std::move(record),
                       .lost_at = now + tables.settings.platform_timeout};
  tables.actions.emplace_back(UpdateRecord{name, update.expected_version, update.record});
  tables.Wake(update.lost_at);
  group.next_platform_attempt = now + AttemptInterval(tables);
  group.update = std::move(update);
}

void RequestRead(LeadershipTables& tables, TimePoint now, const GroupName& name, GroupRow& group) {
  if (group.read_lost_at || !tables.IsDue(now, group.next_platform_attempt)) {
    return;
  }
  group.read_lost_at = now + tables.settings.platform_timeout;
  tables.Wake(*group.read_lost_at);
  group.next_platform_attempt = now + AttemptInterval(tables);
  tables.actions.emplace_back(ReadRecord{name});
}

void TakeRecord(LeadershipTables& tables, const RecordSeen& event) {
  GroupRow& group = tables.groups[event.group];
  group.touched = true;
  if (event.source == RecordSource::kPlatform) {
    ConfirmByPlatform(group.witness, event.record ? event.record->epoch : 0);
    group.read_lost_at.reset();
    group.next_platform_attempt = TimePoint::min();
    group.record_known = true;
  }
  SettleUpdate(group, event);
  // Records are never deleted: an epoch must never start from 1 again.
  if (event.record && event.version > group.version) {
    group.version = event.version;
    group.record = event.record;
  }
}

void TakeReadFailure(LeadershipTables& tables, TimePoint now, const ReadFailed& event) {
  GroupRow& group = tables.groups[event.group];
  group.touched = true;
  group.read_lost_at.reset();
  group.next_platform_attempt = now + AttemptInterval(tables);
}

void TakeUpdateAnswer(LeadershipTables& tables, TimePoint now, const UpdateAnswered& event) {
  GroupRow& group = tables.groups[event.group];
  if (!group.update || group.update->record.update_id != event.update_id) {
    return;
  }
  group.touched = true;
  if (event.result == UpdateResult::kLost) {
    group.update->reading = true;
    group.next_platform_attempt = std::max(group.next_platform_attempt, now);
    return;
  }
  const bool applied = event.result == UpdateResult::kApplied;
  const std::optional<LeadershipRecord> record = applied ? group.update->record : event.current;
  group.update.reset();
  group.next_platform_attempt = now;
  TakeRecord(tables, {.group = event.group, .version = event.version, .record = record});
}

void TakeReachability(LeadershipTables& tables, TimePoint now, const PlatformReachable& event) {
  const bool returned = event.reachable && !tables.platform_reachable;
  tables.platform_reachable = event.reachable;
  if (!returned) {
    return;
  }
  tables.all_touched = true;
  for (auto& [name, group] : tables.groups) {
    group.next_platform_attempt = std::min(group.next_platform_attempt, now);
  }
}

void RunPlatform(LeadershipTables& tables, TimePoint now, const GroupName& name, GroupRow& group) {
  if (group.read_lost_at && tables.IsDue(now, *group.read_lost_at)) {
    group.read_lost_at.reset();
  }
  if (group.update && !group.update->reading && tables.IsDue(now, group.update->lost_at)) {
    group.update->reading = true;
  }
  const bool witness_asks = group.witness.inquired != 0 && !group.witness.platform_confirmed;
  const bool fate_open = group.update && group.update->reading;
  if (witness_asks || fate_open) {
    RequestRead(tables, now, name, group);
  }
}

}  // namespace amaranthlane::leadership
