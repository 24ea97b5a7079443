#include "core/leadership/platform_updates.h"

#include <algorithm>
#include <string>
#include <utility>

#include "core/leadership/witness.h"

namespace amaranthlane::leadership {

namespace {

// The factor by which the interval between attempts grows while the platform is known to be unreachable.
constexpr int kUnreachableFactor = 4;

Duration AttemptInterval(const LeadershipState& state) {
  return state.platform_reachable ? state.settings.platform_retry_interval
                                  : state.settings.platform_retry_interval * kUnreachableFactor;
}

std::string NextUpdateId(LeadershipState& state) {
  ++state.update_counter;
  return state.self.vm + "-" + std::to_string(state.self.incarnation) + "-" + std::to_string(state.update_counter);
}

// Any newer version settles an unanswered update: it is the update's own result, or the update lost against it. A read
// that still shows the expected version settles it too: the update and its retry both expect that version, so at most
// one of them takes effect.
void SettleUpdate(GroupState& group, const RecordSeen& event) {
  if (!group.update || event.source != RecordSource::kPlatform) {
    return;
  }
  const bool newer = event.version > group.update->expected_version;
  const bool unchanged = event.version == group.update->expected_version && group.update->outcome_unknown;
  if (newer || unchanged) {
    group.update.reset();
  }
}

}  // namespace

bool MayUpdate(LeadershipState& state, TimePoint now, const GroupState& group) {
  return !group.update && state.DueOrSchedule(now, group.next_platform_attempt);
}

void StartUpdate(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group,
                 LeadershipRecord record) {
  record.update_id = NextUpdateId(state);
  PendingUpdate update{.expected_version = group.record ? group.version : 0,
                       .record = std::move(record),
                       .deadline = now + state.settings.platform_timeout};
  state.actions.emplace_back(UpdateRecord{name, update.expected_version, update.record});
  state.ScheduleTick(update.deadline);
  group.next_platform_attempt = now + AttemptInterval(state);
  group.update = std::move(update);
}

void RequestRead(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group) {
  if (group.read_deadline || !state.DueOrSchedule(now, group.next_platform_attempt)) {
    return;
  }
  group.read_deadline = now + state.settings.platform_timeout;
  state.ScheduleTick(*group.read_deadline);
  group.next_platform_attempt = now + AttemptInterval(state);
  state.actions.emplace_back(ReadRecord{name});
}

void HandleRecord(LeadershipState& state, const RecordSeen& event) {
  GroupState& group = state.groups[event.group];
  group.dirty = true;
  if (event.source == RecordSource::kPlatform) {
    ConfirmByPlatform(group.witness, event.record ? event.record->epoch : 0);
    group.read_deadline.reset();
    group.next_platform_attempt = TimePoint::min();
    group.record_known = true;
  }
  SettleUpdate(group, event);
  // A missing record is ignored: records are never deleted, since an epoch must never start from 1 again.
  if (event.record && event.version > group.version) {
    group.version = event.version;
    group.record = event.record;
  }
}

void HandleReadFailure(LeadershipState& state, TimePoint now, const ReadFailed& event) {
  GroupState& group = state.groups[event.group];
  group.dirty = true;
  group.read_deadline.reset();
  group.next_platform_attempt = now + AttemptInterval(state);
}

void HandleUpdateCompleted(LeadershipState& state, TimePoint now, const UpdateCompleted& event) {
  GroupState& group = state.groups[event.group];
  if (!group.update || group.update->record.update_id != event.update_id) {
    return;
  }
  group.dirty = true;
  if (event.result == UpdateResult::kUnknown) {
    group.update->outcome_unknown = true;
    group.next_platform_attempt = std::max(group.next_platform_attempt, now);
    return;
  }
  const bool applied = event.result == UpdateResult::kApplied;
  const std::optional<LeadershipRecord> record = applied ? group.update->record : event.current;
  group.update.reset();
  group.next_platform_attempt = now;
  HandleRecord(state, {.group = event.group, .version = event.version, .record = record});
}

void HandleReachability(LeadershipState& state, TimePoint now, const PlatformReachable& event) {
  const bool returned = event.reachable && !state.platform_reachable;
  state.platform_reachable = event.reachable;
  if (!returned) {
    return;
  }
  state.all_dirty = true;
  for (auto& [name, group] : state.groups) {
    group.next_platform_attempt = std::min(group.next_platform_attempt, now);
  }
}

void RunPlatform(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group) {
  if (group.read_deadline && state.DueOrSchedule(now, *group.read_deadline)) {
    group.read_deadline.reset();
  }
  if (group.update && !group.update->outcome_unknown && state.DueOrSchedule(now, group.update->deadline)) {
    group.update->outcome_unknown = true;
  }
  const bool witness_needs_confirmation = group.witness.inquiry_epoch != 0 && !group.witness.platform_confirmed;
  const bool update_outcome_unknown = group.update && group.update->outcome_unknown;
  if (witness_needs_confirmation || update_outcome_unknown) {
    RequestRead(state, now, name, group);
  }
}

}  // namespace amaranthlane::leadership
