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

bool IsUsable(const LeadershipTables& tables, const Holder& holder) {
  const auto found = tables.vms.find(holder.vm);
  return found != tables.vms.end() && found->second.live && !found->second.leaving &&
         found->second.incarnation == holder.incarnation;
}

bool IsWorking(const LeadershipTables& tables, const VmName& vm) {
  const auto found = tables.vms.find(vm);
  return found != tables.vms.end() && found->second.live && !found->second.leaving;
}

// The record's leader is this process, but the witnesses have closed its epoch.
bool IsSupersededSelf(const LeadershipTables& tables, const GroupRow& group) {
  return group.record->leader == tables.self &&
         group.holder.superseded >= Ballot{.epoch = group.record->epoch, .rank = 0};
}

bool HasLeader(const LeadershipTables& tables, TimePoint now, const GroupRow& group) {
  if (group.holder.leading) {
    return true;
  }
  if (!group.record) {
    return false;
  }
  // A successor that took over during an outage isn't in the record yet.
  const Ballot recorded = {.epoch = group.record->epoch, .rank = 0};
  if (group.heard_ballot > recorded && IsUsable(tables, group.heard_holder)) {
    return true;
  }
  const bool promised = now < group.witness.expires_at && group.witness.promised > recorded;
  if (promised && group.witness.holder != tables.self && IsUsable(tables, group.witness.holder)) {
    return true;
  }
  return !group.record->released && IsUsable(tables, group.record->leader) && !IsSupersededSelf(tables, group);
}

// This VM's rank among the record's successors, from 1; 0 when it is none.
std::uint32_t SuccessorRank(const LeadershipTables& tables, const LeadershipRecord& record) {
  const auto found = std::find(record.successors.begin(), record.successors.end(), tables.self.vm);
  return found == record.successors.end() ? 0 : static_cast<std::uint32_t>(found - record.successors.begin()) + 1;
}

// The order in which VMs try to fill a vacancy.
std::vector<VmName> CandidateOrder(const LeadershipTables& tables, const GroupName& name, const GroupRow& group) {
  std::vector<VmName> order;
  if (group.record) {
    order = group.record->successors;
  } else if (const auto preferred = tables.preferred.find(name); preferred != tables.preferred.end()) {
    order.push_back(preferred->second);
  }
  for (const VmView& vm : RendezvousOrder(name, EligibleVms(tables.vms, group.region))) {
    if (std::find(order.begin(), order.end(), vm.vm) == order.end()) {
      order.push_back(vm.vm);
    }
  }
  return order;
}

// How many working VMs come before this one; empty when it isn't a candidate.
std::optional<std::size_t> TurnOf(const LeadershipTables& tables, const GroupName& name, const GroupRow& group) {
  std::size_t ahead = 0;
  for (const VmName& vm : CandidateOrder(tables, name, group)) {
    if (vm == tables.self.vm) {
      return ahead;
    }
    if (IsWorking(tables, vm)) {
      ++ahead;
    }
  }
  return std::nullopt;
}

// TurnOf, worked out anew only when the VMs or the record have changed.
std::optional<std::size_t> CachedTurn(const LeadershipTables& tables, const GroupName& name, GroupRow& group) {
  if (group.turn_generation != tables.vms_generation || group.turn_version != group.version) {
    group.turn = TurnOf(tables, name, group);
    group.turn_generation = tables.vms_generation;
    group.turn_version = group.version;
  }
  return group.turn;
}

// Whether this VM may lead the group at all.
bool IsCandidate(const LeadershipTables& tables, const GroupRow& group) {
  const auto self = tables.vms.find(tables.self.vm);
  if (!group.listed || tables.draining || self == tables.vms.end()) {
    return false;
  }
  return self->second.region == group.region || !tables.regions.contains(group.region);
}

// A later turn waits so many steps longer.
Duration Steps(std::size_t turn, Duration step) { return static_cast<Duration::rep>(turn) * step; }

// The values of a record that gives the group to this process as `epoch`.
LeadershipRecord ComposeRecord(const LeadershipTables& tables, const GroupName& name, const GroupRow& group,
                               Epoch epoch) {
  const std::vector<VmView> eligible = EligibleVms(tables.vms, group.region);
  const std::vector<VmName> present = group.record ? group.record->witnesses : std::vector<VmName>();
  LeadershipRecord record;
  record.epoch = epoch;
  record.leader = tables.self;
  record.successors = ChooseSuccessors(name, tables.self.vm, eligible, tables.settings);
  record.witnesses = ChooseWitnesses(tables.self.vm, eligible, present, tables.settings);
  return record;
}

// The next epoch after the record's, still to be closed with what the record left unclosed.
LeadershipRecord ComposeNextRecord(const LeadershipTables& tables, const GroupName& name, const GroupRow& group) {
  LeadershipRecord record = ComposeRecord(tables, name, group, group.record->epoch + 1);
  record.unclosed = group.record->unclosed;
  record.unclosed.push_back({.epoch = group.record->epoch, .witnesses = group.record->witnesses});
  return record;
}

void RunCreation(LeadershipTables& tables, TimePoint now, const GroupName& name, GroupRow& group) {
  const std::optional<std::size_t> turn = CachedTurn(tables, name, group);
  if (!turn) {
    return;
  }
  const TimePoint due =
      std::max(*group.vacant_since + Steps(*turn, tables.settings.creation_step), tables.silent_until);
  if (!tables.IsDue(now, due)) {
    return;
  }
  if (!group.record_known) {
    RequestRead(tables, now, name, group);
    return;
  }
  if (MayUpdate(tables, now, group)) {
    StartUpdate(tables, now, name, group, ComposeRecord(tables, name, group, 1));
  }
}

// Raises the epoch once the witnesses have heard from no holder lately, or at once when the leader has released it.
void RunRaise(LeadershipTables& tables, TimePoint now, const GroupName& name, GroupRow& group) {
  HolderRow& holder = group.holder;
  const Ballot probed = {.epoch = group.record->epoch, .rank = 0};
  const bool probing = holder.phase == Phase::kProbing && holder.ballot == probed;
  if (!group.record->released && !probing) {
    BeginProbing(holder, *group.record);
    return;
  }
  const bool free = group.record->released || ProbeSucceeded(tables, now, holder);
  if (free && MayUpdate(tables, now, group)) {
    StartUpdate(tables, now, name, group, ComposeNextRecord(tables, name, group));
  }
}

void RunTurn(LeadershipTables& tables, TimePoint now, const GroupName& name, GroupRow& group) {
  const LeadershipRecord& record = *group.record;
  const std::uint32_t rank = SuccessorRank(tables, record);
  const Ballot takeover = {.epoch = record.epoch, .rank = rank};
  const bool underway = group.holder.phase == Phase::kClosing || group.holder.phase == Phase::kHolding;
  if (underway && group.holder.ballot.epoch == record.epoch) {
    return;
  }
  const bool closed_to_it = group.holder.superseded >= takeover;
  if (rank > 0 && !closed_to_it) {
    BeginTakeover(group.holder, record, rank);
    return;
  }
  RunRaise(tables, now, name, group);
}

// A takeover on suspicion ends when the leader is heard again before any witness closed its ballot.
void AbandonTakeover(HolderRow& holder) {
  const bool undecided = holder.phase == Phase::kClosing && !holder.decided;
  const bool untouched = std::all_of(holder.closings.begin(), holder.closings.end(),
                                     [](const Closing& closing) { return closing.accepted_at.empty(); });
  if (holder.phase == Phase::kProbing || (undecided && untouched)) {
    holder.phase = Phase::kIdle;
  }
}

bool NeedsBetterWitnesses(const LeadershipTables& tables, const GroupRow& group, const LeadershipRecord& wanted) {
  const std::vector<VmName>& present = group.record->witnesses;
  const bool small = EligibleVms(tables.vms, group.region).size() <= tables.settings.all_witness_limit;
  if (small) {
    return present != wanted.witnesses || !group.holder.refused.empty();
  }
  const bool unusable =
      std::any_of(present.begin(), present.end(), [&tables](const VmName& vm) { return !IsWorking(tables, vm); });
  return unusable || present.size() < wanted.witnesses.size() || !group.holder.refused.empty();
}

bool NeedsBetterSuccessors(const LeadershipTables& tables, const GroupRow& group, const LeadershipRecord& wanted) {
  const std::vector<VmName>& present = group.record->successors;
  const bool unusable =
      std::any_of(present.begin(), present.end(), [&tables](const VmName& vm) { return !IsWorking(tables, vm); });
  return unusable || present.size() < wanted.successors.size();
}

// Writes an epoch with other witnesses or successors once the present ones have been unusable for long.
void RunRefresh(LeadershipTables& tables, TimePoint now, const GroupName& name, GroupRow& group) {
  const bool known_good = group.good_generation == tables.vms_generation && group.good_version == group.version;
  if (known_good && group.holder.refused.empty()) {
    return;
  }
  LeadershipRecord wanted = ComposeRecord(tables, name, group, group.record->epoch + 1);
  if (!NeedsBetterWitnesses(tables, group, wanted) && !NeedsBetterSuccessors(tables, group, wanted)) {
    group.stale_since.reset();
    group.good_generation = tables.vms_generation;
    group.good_version = group.version;
    return;
  }
  if (!group.stale_since) {
    group.stale_since = now;
  }
  const bool due = tables.IsDue(now, *group.stale_since + tables.settings.refresh_delay);
  if (due && MayUpdate(tables, now, group)) {
    group.stale_since.reset();
    wanted.unclosed.push_back({.epoch = group.record->epoch, .witnesses = group.record->witnesses});
    StartUpdate(tables, now, name, group, std::move(wanted));
  }
}

}  // namespace

void RefreshPreferred(LeadershipTables& tables) {
  std::vector<GroupView> groups;
  bool missing = false;
  for (const auto& [name, group] : tables.groups) {
    if (group.listed) {
      groups.push_back({.group = name, .region = group.region});
      missing = missing || !group.record;
    }
  }
  tables.preferred.clear();
  if (missing) {
    tables.preferred = PreferredLeaders(groups, tables.vms);
  }
}

void RunRecord(LeadershipTables& tables, TimePoint now, const GroupName& name, GroupRow& group) {
  if (!group.record) {
    return;
  }
  const LeadershipRecord& record = *group.record;
  HolderRow& holder = group.holder;
  const bool mine = record.leader == tables.self && !record.released;
  if (mine && tables.draining) {
    if (MayUpdate(tables, now, group)) {
      LeadershipRecord released = record;
      released.released = true;
      StartUpdate(tables, now, name, group, std::move(released));
    }
    return;
  }
  const bool older = holder.ballot.epoch < record.epoch;
  const bool undecided = holder.phase == Phase::kProbing || holder.phase == Phase::kIdle;
  if (mine && (older || (undecided && holder.superseded < Ballot{.epoch = record.epoch, .rank = 0}))) {
    BeginDecided(holder, record);
    return;
  }
  if (!mine && older && !holder.leading) {
    holder.phase = Phase::kIdle;
  }
}

void RunCandidate(LeadershipTables& tables, TimePoint now, const GroupName& name, GroupRow& group) {
  if (!IsCandidate(tables, group) || HasLeader(tables, now, group)) {
    group.vacant_since.reset();
    AbandonTakeover(group.holder);
    if (now < group.witness.expires_at) {
      // The promise may be all that shows a leader.
      tables.Wake(group.witness.expires_at);
    }
    return;
  }
  if (!group.vacant_since) {
    group.vacant_since = now;
  }
  if (!group.record) {
    RunCreation(tables, now, name, group);
    return;
  }
  std::optional<std::size_t> turn = CachedTurn(tables, name, group);
  if (IsSupersededSelf(tables, group)) {
    // Whoever superseded it is given time to write the next epoch.
    turn = 1;
  }
  if (turn && tables.IsDue(now, *group.vacant_since + Steps(*turn, tables.settings.takeover_step))) {
    RunTurn(tables, now, name, group);
  }
}

void RunLeaderUpdates(LeadershipTables& tables, TimePoint now, const GroupName& name, GroupRow& group) {
  const HolderRow& holder = group.holder;
  // Only once the validity stands on promises to this ballot are the earlier epochs out of the game: until then they
  // may carry this VM's own validity, which others have to learn of when they close them.
  const bool current = holder.leading && holder.valid_ballot == holder.ballot && group.record &&
                       holder.ballot.epoch == group.record->epoch;
  if (!current || group.update || tables.draining) {
    return;
  }
  if (!holder.decided) {
    if (MayUpdate(tables, now, group)) {
      LeadershipRecord record = ComposeRecord(tables, name, group, group.record->epoch + 1);
      record.unclosed.push_back({.epoch = group.record->epoch, .witnesses = group.record->witnesses});
      StartUpdate(tables, now, name, group, std::move(record));
    }
    return;
  }
  if (!group.record->unclosed.empty()) {
    if (MayUpdate(tables, now, group)) {
      LeadershipRecord record = *group.record;
      record.unclosed.clear();
      StartUpdate(tables, now, name, group, std::move(record));
    }
    return;
  }
  RunRefresh(tables, now, name, group);
}

}  // namespace amaranthlane::leadership
