#include "core/leadership/leadership_system.h"

#include <algorithm>
#include <utility>

#include "core/leadership/candidate.h"
#include "core/leadership/holder.h"
#include "core/leadership/platform_updates.h"
#include "core/leadership/witness.h"

namespace amaranthlane::leadership {

namespace {

bool Contains(const std::vector<VmName>& vms, const VmName& vm) {
  return std::find(vms.begin(), vms.end(), vm) != vms.end();
}

void TakeVms(LeadershipTables& tables, const VmsChanged& event) {
  tables.all_touched = true;
  tables.vms.clear();
  tables.regions.clear();
  ++tables.vms_generation;
  for (const VmView& vm : event.vms) {
    tables.vms[vm.vm] = vm;
    if (vm.live) {
      tables.terminated.erase(vm.vm);
    }
    if (!vm.leaving) {
      tables.regions.insert(vm.region);
    }
  }
  RefreshPreferred(tables);
}

void TakeGroups(LeadershipTables& tables, const GroupsChanged& event) {
  tables.all_touched = true;
  for (auto& [name, group] : tables.groups) {
    group.listed = false;
  }
  for (const GroupView& view : event.groups) {
    GroupRow& group = tables.groups[view.group];
    group.listed = true;
    group.region = view.region;
  }
  RefreshPreferred(tables);
}

void TakeHolderHeard(LeadershipTables& tables, const HolderHeard& event) {
  GroupRow& group = tables.groups[event.group];
  group.touched = true;
  if (event.ballot >= group.heard_ballot) {
    group.heard_ballot = event.ballot;
    group.heard_holder = event.holder;
  }
}

void StartDrain(LeadershipTables& tables, TimePoint now) {
  if (tables.draining) {
    return;
  }
  tables.draining = true;
  tables.all_touched = true;
  for (auto& [name, group] : tables.groups) {
    ReleaseGroup(tables, now, name, group);
  }
}

// Runs every system over one group and notes when that is next due.
void RunSystems(LeadershipTables& tables, TimePoint now, const GroupName& name, GroupRow& group) {
  const TimePoint due_for_others = std::exchange(tables.next_deadline, kNever);
  group.touched = false;
  RunRecord(tables, now, name, group);
  RunCandidate(tables, now, name, group);
  RunHolder(tables, now, name, group);
  RunLeaderUpdates(tables, now, name, group);
  RunInquiry(tables, now, name, group);
  RunPlatform(tables, now, name, group);
  group.next_due = tables.next_deadline;
  tables.Wake(due_for_others);
}

// Hands each event to the system that takes it in.
struct Dispatcher {
  LeadershipTables& tables;
  TimePoint now;

  void operator()(const RecordSeen& event) const { TakeRecord(this->tables, event); }
  void operator()(const ReadFailed& event) const { TakeReadFailure(this->tables, this->now, event); }
  void operator()(const UpdateAnswered& event) const { TakeUpdateAnswer(this->tables, this->now, event); }
  void operator()(const PlatformReachable& event) const { TakeReachability(this->tables, this->now, event); }
  void operator()(const PromiseRequestReceived& event) const { AnswerRequest(this->tables, this->now, event); }
  void operator()(const PromiseAnswerReceived& event) const { TakePromiseAnswer(this->tables, this->now, event); }
  void operator()(const CloseRequestReceived& event) const { AnswerRequest(this->tables, this->now, event); }
  void operator()(const CloseAnswerReceived& event) const { TakeCloseAnswer(this->tables, this->now, event); }
  void operator()(const VmsChanged& event) const { TakeVms(this->tables, event); }
  void operator()(const VmsTerminated& event) const {
    this->tables.terminated.insert(event.vms.begin(), event.vms.end());
    this->tables.all_touched = true;
  }
  void operator()(const GroupsChanged& event) const { TakeGroups(this->tables, event); }
  void operator()(const HolderHeard& event) const { TakeHolderHeard(this->tables, event); }
  void operator()(const DrainStarted&) const { StartDrain(this->tables, this->now); }
};

}  // namespace

LeadershipSystem::LeadershipSystem(Holder self, LeadershipSettings settings, TimePoint started_at) {
  this->tables.self = std::move(self);
  this->tables.silent_until = started_at + settings.promise_length;
  this->tables.settings = settings;
}

std::vector<Action> LeadershipSystem::Tick(TimePoint now, std::span<const Event> events) {
  LeadershipTables& tables = this->tables;
  tables.next_deadline = kNever;
  ExpireLeadership(tables, now);
  const Dispatcher dispatcher{tables, now};
  for (const Event& event : events) {
    std::visit(dispatcher, event);
  }
  const bool run_all = std::exchange(tables.all_touched, false);
  for (auto& [name, group] : tables.groups) {
    if (run_all || group.touched || group.next_due <= now) {
      RunSystems(tables, now, name, group);
    } else {
      tables.Wake(group.next_due);
    }
  }
  if (tables.next_beat <= now) {
    tables.next_beat = now + tables.settings.beat;
  }
  FlushPromiseRequests(tables, now);
  return std::exchange(tables.actions, {});
}

TimePoint LeadershipSystem::NextDeadline() const { return this->tables.next_deadline; }

std::optional<TimePoint> LeadershipSystem::ValidUntil(const GroupName& group) const {
  const auto found = this->tables.groups.find(group);
  if (found == this->tables.groups.end() || !found->second.holder.leading) {
    return std::nullopt;
  }
  return found->second.holder.valid_until;
}

std::optional<VmName> LeadershipSystem::CurrentLeader(const GroupName& group) const {
  const auto found = this->tables.groups.find(group);
  if (found == this->tables.groups.end()) {
    return std::nullopt;
  }
  const GroupRow& row = found->second;
  if (row.holder.leading) {
    return this->tables.self.vm;
  }
  Ballot best;
  std::optional<VmName> leader;
  if (row.record && !row.record->released) {
    best = {.epoch = row.record->epoch, .rank = 0};
    leader = row.record->leader.vm;
  }
  // A takeover that the record doesn't show yet, as this witness or another VM knows it.
  if (row.witness.promised > best) {
    best = row.witness.promised;
    leader = row.witness.holder.vm;
  }
  if (row.heard_ballot > best) {
    leader = row.heard_holder.vm;
  }
  return leader;
}

CloseVms LeadershipSystem::ListCloseVms() const {
  const VmName& self = this->tables.self.vm;
  CloseVms close;
  for (const auto& [name, group] : this->tables.groups) {
    if (!group.record || group.record->released) {
      continue;
    }
    const LeadershipRecord& record = *group.record;
    if (record.leader.vm == self) {
      close.send_to.insert(record.witnesses.begin(), record.witnesses.end());
      close.send_to.insert(record.successors.begin(), record.successors.end());
    } else if (Contains(record.witnesses, self) || Contains(record.successors, self)) {
      close.hear_from.insert(record.leader.vm);
    }
  }
  close.send_to.erase(self);
  return close;
}

const LeadershipRecord* LeadershipSystem::Record(const GroupName& group) const {
  const auto found = this->tables.groups.find(group);
  const bool known = found != this->tables.groups.end() && found->second.record;
  return known ? &*found->second.record : nullptr;
}

}  // namespace amaranthlane::leadership
