#include "core/leadership/candidate.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "core/leadership/holder.h"
#include "core/leadership/placement.h"
#include "core/leadership/platform_updates.h"

namespace amaranthlane::leadership {

namespace {

bool IsUsable(const LeadershipState& state, const Holder& holder) {
  const auto found = state.vms.find(holder.vm);
  return found != state.vms.end() && found->second.live && !found->second.leaving &&
         found->second.incarnation == holder.incarnation;
}

bool IsAvailable(const LeadershipState& state, const VmName& vm) {
  const auto found = state.vms.find(vm);
  return found != state.vms.end() && found->second.live && !found->second.leaving;
}

// The record names this process as leader, but the witnesses have closed its epoch.
bool IsSupersededSelf(const LeadershipState& state, const GroupState& group) {
  return group.record->leader == state.self &&
         group.holder.superseded_ballot >= Ballot{.epoch = group.record->epoch, .rank = 0};
}

bool HasLeader(const LeadershipState& state, TimePoint now, const GroupState& group) {
  if (group.holder.leading) {
    return true;
  }
  if (!group.record) {
    return false;
  }
  // A successor that took over during an outage isn't in the record yet.
  const Ballot recorded = {.epoch = group.record->epoch, .rank = 0};
  if (group.reported_ballot > recorded && IsUsable(state, group.reported_holder)) {
    return true;
  }
  const bool granted_above = now < group.witness.expires_at && group.witness.granted_ballot > recorded;
  if (granted_above && group.witness.holder != state.self && IsUsable(state, group.witness.holder)) {
    return true;
  }
  return !group.record->released && IsUsable(state, group.record->leader) && !IsSupersededSelf(state, group);
}

// This VM's rank among the record's successors, counted from 1; 0 when it isn't one.
std::uint32_t SuccessorRank(const LeadershipState& state, const LeadershipRecord& record) {
  const auto found = std::find(record.successors.begin(), record.successors.end(), state.self.vm);
  return found == record.successors.end() ? 0 : static_cast<std::uint32_t>(found - record.successors.begin()) + 1;
}

// The order of candidates, in which VMs try to fill a vacancy.
std::vector<VmName> CandidateOrder(const LeadershipState& state, const GroupName& name, const GroupState& group) {
  std::vector<VmName> order;
  if (group.record) {
    order = group.record->successors;
  } else if (const auto preferred = state.preferred_leaders.find(name); preferred != state.preferred_leaders.end()) {
    order.push_back(preferred->second);
  }
  for (const VmView& vm : RendezvousOrder(name, EligibleVms(state.vms, group.region))) {
    if (std::find(order.begin(), order.end(), vm.vm) == order.end()) {
      order.push_back(vm.vm);
    }
  }
  return order;
}

// How many available VMs precede this one in the order of candidates; empty when it isn't a candidate.
std::optional<std::size_t> ComputeCandidateIndex(const LeadershipState& state, const GroupName& name,
                                                 const GroupState& group) {
  std::size_t ahead = 0;
  for (const VmName& vm : CandidateOrder(state, name, group)) {
    if (vm == state.self.vm) {
      return ahead;
    }
    if (IsAvailable(state, vm)) {
      ++ahead;
    }
  }
  return std::nullopt;
}

// The cached result of ComputeCandidateIndex, computed again when the VMs or the record have changed.
std::optional<std::size_t> CandidateIndex(const LeadershipState& state, const GroupName& name, GroupState& group) {
  if (group.candidate_index_generation != state.vms_generation || group.candidate_index_version != group.version) {
    group.candidate_index = ComputeCandidateIndex(state, name, group);
    group.candidate_index_generation = state.vms_generation;
    group.candidate_index_version = group.version;
  }
  return group.candidate_index;
}

// Whether this VM may lead the group at all.
bool IsCandidate(const LeadershipState& state, const GroupState& group) {
  const auto self = state.vms.find(state.self.vm);
  if (!group.listed || state.draining || self == state.vms.end()) {
    return false;
  }
  return self->second.region == group.region || !state.regions.contains(group.region);
}

// The extra delay of the candidate at `candidate_index`.
Duration StaggerDelay(std::size_t candidate_index, Duration stagger) {
  return static_cast<Duration::rep>(candidate_index) * stagger;
}

// A record that gives the group to this process as `epoch`.
LeadershipRecord ComposeRecord(const LeadershipState& state, const GroupName& name, const GroupState& group,
                               Epoch epoch) {
  const std::vector<VmView> eligible = EligibleVms(state.vms, group.region);
  const std::vector<VmName> current = group.record ? group.record->witnesses : std::vector<VmName>();
  LeadershipRecord record;
  record.epoch = epoch;
  record.leader = state.self;
  record.successors = ChooseSuccessors(name, state.self.vm, eligible, state.settings);
  record.witnesses = ChooseWitnesses(state.self.vm, eligible, current, state.settings);
  return record;
}

// The record of the next epoch. The record's own epoch, and those that it lists as unclosed, have yet to be closed.
LeadershipRecord ComposeNextRecord(const LeadershipState& state, const GroupName& name, const GroupState& group) {
  LeadershipRecord record = ComposeRecord(state, name, group, group.record->epoch + 1);
  record.unclosed = group.record->unclosed;
  record.unclosed.push_back({.epoch = group.record->epoch, .witnesses = group.record->witnesses});
  return record;
}

void RunCreation(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group) {
  const std::optional<std::size_t> candidate_index = CandidateIndex(state, name, group);
  if (!candidate_index) {
    return;
  }
  const TimePoint due = std::max(
      *group.leaderless_since + StaggerDelay(*candidate_index, state.settings.creation_stagger), state.silent_until);
  if (!state.DueOrSchedule(now, due)) {
    return;
  }
  if (!group.record_known) {
    RequestRead(state, now, name, group);
    return;
  }
  if (MayUpdate(state, now, group)) {
    StartUpdate(state, now, name, group, ComposeRecord(state, name, group, 1));
  }
}

// Raises the epoch once a majority of the witnesses reports no live holder, or at once when the leader has released the
// group.
void RunEpochIncrement(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group) {
  HolderState& holder = group.holder;
  const Ballot probed = {.epoch = group.record->epoch, .rank = 0};
  const bool probing = holder.phase == Phase::kProbing && holder.ballot == probed;
  if (!group.record->released && !probing) {
    BeginProbing(holder, *group.record);
    return;
  }
  const bool vacant = group.record->released || ProbeSucceeded(state, now, holder);
  if (vacant && MayUpdate(state, now, group)) {
    StartUpdate(state, now, name, group, ComposeNextRecord(state, name, group));
  }
}

void RunTakeover(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group) {
  const LeadershipRecord& record = *group.record;
  const std::uint32_t rank = SuccessorRank(state, record);
  const Ballot takeover = {.epoch = record.epoch, .rank = rank};
  const bool already_acting = group.holder.phase == Phase::kClosing || group.holder.phase == Phase::kHolding;
  if (already_acting && group.holder.ballot.epoch == record.epoch) {
    return;
  }
  const bool takeover_superseded = group.holder.superseded_ballot >= takeover;
  if (rank > 0 && !takeover_superseded) {
    BeginTakeover(group.holder, record, rank);
    return;
  }
  RunEpochIncrement(state, now, name, group);
}

// Ends probing, and ends a takeover on suspicion unless a witness has already accepted its close request. Called when
// the group has a leader again or this VM may not lead it.
void AbandonTakeover(HolderState& holder) {
  const bool closing_for_takeover = holder.phase == Phase::kClosing && !holder.decided;
  const bool none_accepted = std::all_of(holder.close_quorums.begin(), holder.close_quorums.end(),
                                         [](const CloseQuorum& quorum) { return quorum.accepted_sent_at.empty(); });
  if (holder.phase == Phase::kProbing || (closing_for_takeover && none_accepted)) {
    holder.phase = Phase::kIdle;
  }
}

bool ShouldReplaceWitnesses(const LeadershipState& state, const GroupState& group, const LeadershipRecord& wanted) {
  const std::vector<VmName>& current = group.record->witnesses;
  const bool small = EligibleVms(state.vms, group.region).size() <= state.settings.all_witness_limit;
  if (small) {
    return current != wanted.witnesses || !group.holder.refusing_witnesses.empty();
  }
  const bool unusable =
      std::any_of(current.begin(), current.end(), [&state](const VmName& vm) { return !IsAvailable(state, vm); });
  return unusable || current.size() < wanted.witnesses.size() || !group.holder.refusing_witnesses.empty();
}

bool ShouldReplaceSuccessors(const LeadershipState& state, const GroupState& group, const LeadershipRecord& wanted) {
  const std::vector<VmName>& current = group.record->successors;
  const bool unusable =
      std::any_of(current.begin(), current.end(), [&state](const VmName& vm) { return !IsAvailable(state, vm); });
  return unusable || current.size() < wanted.successors.size();
}

// Writes an epoch with other witnesses or successors once the current ones have been unusable for `replacement_delay`.
void RunReplacement(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group) {
  const bool known_suitable =
      group.suitable_generation == state.vms_generation && group.suitable_version == group.version;
  if (known_suitable && group.holder.refusing_witnesses.empty()) {
    return;
  }
  LeadershipRecord wanted = ComposeRecord(state, name, group, group.record->epoch + 1);
  if (!ShouldReplaceWitnesses(state, group, wanted) && !ShouldReplaceSuccessors(state, group, wanted)) {
    group.unsuitable_since.reset();
    group.suitable_generation = state.vms_generation;
    group.suitable_version = group.version;
    return;
  }
  if (!group.unsuitable_since) {
    group.unsuitable_since = now;
  }
  const bool due = state.DueOrSchedule(now, *group.unsuitable_since + state.settings.replacement_delay);
  if (due && MayUpdate(state, now, group)) {
    group.unsuitable_since.reset();
    wanted.unclosed.push_back({.epoch = group.record->epoch, .witnesses = group.record->witnesses});
    StartUpdate(state, now, name, group, std::move(wanted));
  }
}

}  // namespace

void RefreshPreferredLeaders(LeadershipState& state) {
  std::vector<GroupView> groups;
  bool missing = false;
  for (const auto& [name, group] : state.groups) {
    if (group.listed) {
      groups.push_back({.group = name, .region = group.region});
      missing = missing || !group.record;
    }
  }
  state.preferred_leaders.clear();
  if (missing) {
    state.preferred_leaders = PreferredLeaders(groups, state.vms);
  }
}

void RunRecord(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group) {
  if (!group.record) {
    return;
  }
  const LeadershipRecord& record = *group.record;
  HolderState& holder = group.holder;
  const bool names_self = record.leader == state.self && !record.released;
  if (names_self && state.draining) {
    if (MayUpdate(state, now, group)) {
      LeadershipRecord released = record;
      released.released = true;
      StartUpdate(state, now, name, group, std::move(released));
    }
    return;
  }
  const bool record_is_newer = holder.ballot.epoch < record.epoch;
  const bool not_claiming = holder.phase == Phase::kProbing || holder.phase == Phase::kIdle;
  if (names_self &&
      (record_is_newer || (not_claiming && holder.superseded_ballot < Ballot{.epoch = record.epoch, .rank = 0}))) {
    BeginDecidedEpoch(holder, record);
    return;
  }
  if (!names_self && record_is_newer && !holder.leading) {
    holder.phase = Phase::kIdle;
  }
}

void RunCandidate(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group) {
  if (!IsCandidate(state, group) || HasLeader(state, now, group)) {
    group.leaderless_since.reset();
    AbandonTakeover(group.holder);
    if (now < group.witness.expires_at) {
      // The group may count as led only because of this VM's grant, which doesn't outlast `expires_at`.
      state.ScheduleTick(group.witness.expires_at);
    }
    return;
  }
  if (!group.leaderless_since) {
    group.leaderless_since = now;
  }
  if (!group.record) {
    RunCreation(state, now, name, group);
    return;
  }
  std::optional<std::size_t> candidate_index = CandidateIndex(state, name, group);
  if (IsSupersededSelf(state, group)) {
    // Gives the holder that superseded this one time to write the next epoch.
    candidate_index = 1;
  }
  if (candidate_index &&
      state.DueOrSchedule(now,
                          *group.leaderless_since + StaggerDelay(*candidate_index, state.settings.takeover_stagger))) {
    RunTakeover(state, now, name, group);
  }
}

void RunLeaderUpdates(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group) {
  const HolderState& holder = group.holder;
  // Until `valid_until` is determined by grants for this ballot, the earlier epochs must stay in the record: this VM's
  // leadership may still rest on their grants, and another VM learns of those grants only by closing the epochs.
  const bool holds_recorded_epoch = holder.leading && holder.valid_ballot == holder.ballot && group.record &&
                                    holder.ballot.epoch == group.record->epoch;
  if (!holds_recorded_epoch || group.update || state.draining) {
    return;
  }
  if (!holder.decided) {
    if (MayUpdate(state, now, group)) {
      LeadershipRecord record = ComposeRecord(state, name, group, group.record->epoch + 1);
      record.unclosed.push_back({.epoch = group.record->epoch, .witnesses = group.record->witnesses});
      StartUpdate(state, now, name, group, std::move(record));
    }
    return;
  }
  if (!group.record->unclosed.empty()) {
    if (MayUpdate(state, now, group)) {
      LeadershipRecord record = *group.record;
      record.unclosed.clear();
      StartUpdate(state, now, name, group, std::move(record));
    }
    return;
  }
  RunReplacement(state, now, name, group);
}

}  // namespace amaranthlane::leadership
