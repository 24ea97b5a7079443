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

void HandleVmsChanged(LeadershipState& state, const VmsChanged& event) {
  state.all_dirty = true;
  state.vms.clear();
  state.regions.clear();
  ++state.vms_generation;
  for (const VmView& vm : event.vms) {
    state.vms[vm.vm] = vm;
    if (vm.live) {
      state.terminated.erase(vm.vm);
    }
    if (!vm.leaving) {
      state.regions.insert(vm.region);
    }
  }
  RefreshPreferredLeaders(state);
}

void HandleGroupsChanged(LeadershipState& state, const GroupsChanged& event) {
  state.all_dirty = true;
  for (auto& [name, group] : state.groups) {
    group.listed = false;
  }
  for (const GroupView& view : event.groups) {
    GroupState& group = state.groups[view.group];
    group.listed = true;
    group.region = view.region;
  }
  RefreshPreferredLeaders(state);
}

void HandleHolderReported(LeadershipState& state, const HolderReported& event) {
  GroupState& group = state.groups[event.group];
  group.dirty = true;
  if (event.ballot >= group.reported_ballot) {
    group.reported_ballot = event.ballot;
    group.reported_holder = event.holder;
  }
}

void StartDrain(LeadershipState& state, TimePoint now) {
  if (state.draining) {
    return;
  }
  state.draining = true;
  state.all_dirty = true;
  for (auto& [name, group] : state.groups) {
    ReleaseGroup(state, now, name, group);
  }
}

// Processes one group and notes when it is next due.
void ProcessGroup(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group) {
  const TimePoint deadline_of_other_groups = std::exchange(state.next_deadline, kNever);
  group.dirty = false;
  RunRecord(state, now, name, group);
  RunCandidate(state, now, name, group);
  RunHolder(state, now, name, group);
  RunLeaderUpdates(state, now, name, group);
  RunInquiry(state, now, name, group);
  RunPlatform(state, now, name, group);
  group.next_due = state.next_deadline;
  state.ScheduleTick(deadline_of_other_groups);
}

// Passes each event to its handler.
struct Dispatcher {
  LeadershipState& state;
  TimePoint now;

  void operator()(const RecordSeen& event) const { HandleRecord(this->state, event); }
  void operator()(const ReadFailed& event) const { HandleReadFailure(this->state, this->now, event); }
  void operator()(const UpdateCompleted& event) const { HandleUpdateCompleted(this->state, this->now, event); }
  void operator()(const PlatformReachable& event) const { HandleReachability(this->state, this->now, event); }
  void operator()(const GrantRequestReceived& event) const { ReplyToRequest(this->state, this->now, event); }
  void operator()(const GrantReplyReceived& event) const { HandleGrantReply(this->state, this->now, event); }
  void operator()(const CloseRequestReceived& event) const { ReplyToRequest(this->state, this->now, event); }
  void operator()(const CloseReplyReceived& event) const { HandleCloseReply(this->state, this->now, event); }
  void operator()(const VmsChanged& event) const { HandleVmsChanged(this->state, event); }
  void operator()(const VmsTerminated& event) const {
    this->state.terminated.insert(event.vms.begin(), event.vms.end());
    this->state.all_dirty = true;
  }
  void operator()(const GroupsChanged& event) const { HandleGroupsChanged(this->state, event); }
  void operator()(const HolderReported& event) const { HandleHolderReported(this->state, event); }
  void operator()(const DrainStarted&) const { StartDrain(this->state, this->now); }
};

}  // namespace

LeadershipSystem::LeadershipSystem(Holder self, LeadershipSettings settings, TimePoint started_at) {
  this->state.self = std::move(self);
  this->state.silent_until = started_at + settings.grant_duration;
  this->state.settings = settings;
}

std::vector<Action> LeadershipSystem::Tick(TimePoint now, std::span<const Event> events) {
  LeadershipState& state = this->state;
  state.next_deadline = kNever;
  ExpireLeadership(state, now);
  const Dispatcher dispatcher{state, now};
  for (const Event& event : events) {
    std::visit(dispatcher, event);
  }
  const bool run_all = std::exchange(state.all_dirty, false);
  for (auto& [name, group] : state.groups) {
    if (run_all || group.dirty || group.next_due <= now) {
      ProcessGroup(state, now, name, group);
    } else {
      state.ScheduleTick(group.next_due);
    }
  }
  if (state.next_renewal <= now) {
    state.next_renewal = now + state.settings.renewal_interval;
  }
  FlushGrantRequests(state, now);
  return std::exchange(state.actions, {});
}

TimePoint LeadershipSystem::NextDeadline() const { return this->state.next_deadline; }

std::optional<TimePoint> LeadershipSystem::ValidUntil(const GroupName& group) const {
  const auto found = this->state.groups.find(group);
  if (found == this->state.groups.end() || !found->second.holder.leading) {
    return std::nullopt;
  }
  return found->second.holder.valid_until;
}

std::optional<VmName> LeadershipSystem::CurrentLeader(const GroupName& group) const {
  const auto found = this->state.groups.find(group);
  if (found == this->state.groups.end()) {
    return std::nullopt;
  }
  const GroupState& group_state = found->second;
  if (group_state.holder.leading) {
    return this->state.self.vm;
  }
  Ballot best;
  std::optional<VmName> leader;
  if (group_state.record && !group_state.record->released) {
    best = {.epoch = group_state.record->epoch, .rank = 0};
    leader = group_state.record->leader.vm;
  }
  // A takeover that the record doesn't show yet, known from this VM's grant as a witness or from another VM's report.
  if (group_state.witness.granted_ballot > best) {
    best = group_state.witness.granted_ballot;
    leader = group_state.witness.holder.vm;
  }
  if (group_state.reported_ballot > best) {
    leader = group_state.reported_holder.vm;
  }
  return leader;
}

HeartbeatPeers LeadershipSystem::ListHeartbeatPeers() const {
  const VmName& self = this->state.self.vm;
  HeartbeatPeers peers;
  for (const auto& [name, group] : this->state.groups) {
    if (!group.record || group.record->released) {
      continue;
    }
    const LeadershipRecord& record = *group.record;
    if (record.leader.vm == self) {
      peers.send_to.insert(record.witnesses.begin(), record.witnesses.end());
      peers.send_to.insert(record.successors.begin(), record.successors.end());
    } else if (Contains(record.witnesses, self) || Contains(record.successors, self)) {
      peers.hear_from.insert(record.leader.vm);
    }
  }
  peers.send_to.erase(self);
  return peers;
}

const LeadershipRecord* LeadershipSystem::Record(const GroupName& group) const {
  const auto found = this->state.groups.find(group);
  const bool known = found != this->state.groups.end() && found->second.record;
  return known ? &*found->second.record : nullptr;
}

}  // namespace amaranthlane::leadership
