#include "core/membership/liveness.h"

#include <algorithm>
#include <utility>

namespace amaranthlane::membership {

namespace {

// A gap of this many heartbeat intervals between two ticks counts as a pause.
constexpr int kPauseHeartbeats = 2;

// Whether `vm` sends a heartbeat or a reply to this VM in every interval.
bool IsDirectPeer(const MembershipTables& tables, const VmName& vm) {
  return tables.IsFullMesh() || tables.send_to.contains(vm) || tables.hear_from.contains(vm);
}

void MarkChanged(MembershipTables& tables, VmRow& row) {
  tables.changed = true;
  row.urgent_sends = tables.settings.urgent_sends;
}

void StartIncarnation(MembershipTables& tables, VmRow& row, Incarnation incarnation) {
  row.incarnation = incarnation;
  row.counter = 0;
  MarkChanged(tables, row);
}

void UpdateAddress(MembershipTables& tables, VmRow& row, const DigestEntry& entry) {
  if (entry.address.empty() || entry.address == row.address) {
    return;
  }
  row.data_centre = entry.data_centre;
  row.region = entry.region;
  row.address = entry.address;
  MarkChanged(tables, row);
}

void MarkAlive(MembershipTables& tables, TimePoint now, VmRow& row, VmState state) {
  if (row.liveness != Liveness::kLive || row.state != state) {
    MarkChanged(tables, row);
  }
  row.liveness = Liveness::kLive;
  row.state = state;
  const Duration allowance = IsDirectPeer(tables, row.vm) ? Duration::zero() : tables.settings.indirect_allowance;
  row.suspect_at = now + tables.settings.suspect_timeout + allowance;
  row.dead_at = now + tables.settings.dead_timeout + allowance;
  row.forget_at = row.dead_at + tables.settings.forget_timeout;
}

void MarkDead(MembershipTables& tables, TimePoint now, VmRow& row) {
  row.liveness = Liveness::kDead;
  row.dead_at = kNever;
  row.forget_at = now + tables.settings.forget_timeout;
  MarkChanged(tables, row);
}

VmRow& FindOrAdd(MembershipTables& tables, const VmName& vm) {
  const auto [found, added] = tables.vms.try_emplace(vm);
  if (added) {
    found->second.vm = vm;
    tables.changed = true;
  }
  return found->second;
}

void ApplySender(MembershipTables& tables, TimePoint now, const DigestEntry& sender) {
  VmRow& row = FindOrAdd(tables, sender.vm);
  if (row.counter == 0 || row.incarnation != sender.incarnation) {
    StartIncarnation(tables, row, sender.incarnation);
  }
  if (sender.counter < row.counter) {
    return;
  }
  row.counter = sender.counter;
  UpdateAddress(tables, row, sender);
  MarkAlive(tables, now, row, sender.state);
}

void ApplyDeathReport(MembershipTables& tables, TimePoint now, VmRow& row, const DigestEntry& entry) {
  // What this VM hears directly takes precedence over reports of others.
  const bool heard_directly = IsDirectPeer(tables, row.vm) && row.liveness == Liveness::kLive;
  const bool applies = entry.incarnation == row.incarnation && entry.counter >= row.counter;
  if (applies && !heard_directly && row.liveness != Liveness::kDead) {
    MarkDead(tables, now, row);
  }
}

void ApplyDigestEntry(MembershipTables& tables, TimePoint now, const DigestEntry& entry) {
  const bool known = tables.vms.contains(entry.vm);
  if (entry.vm == tables.self.vm || (!known && entry.state == VmState::kDead)) {
    return;
  }
  VmRow& row = FindOrAdd(tables, entry.vm);
  if (entry.state == VmState::kDead) {
    ApplyDeathReport(tables, now, row, entry);
    return;
  }
  // Entries may be old; the one with the higher incarnation is newer. A VM's own heartbeat takes precedence over
  // entries.
  if (row.counter == 0 || row.incarnation < entry.incarnation) {
    StartIncarnation(tables, row, entry.incarnation);
  }
  if (entry.incarnation != row.incarnation || entry.counter <= row.counter) {
    return;
  }
  row.counter = entry.counter;
  UpdateAddress(tables, row, entry);
  // A VM that should send heartbeats to this one is live only while they arrive.
  if (!IsDirectPeer(tables, row.vm) || row.liveness == Liveness::kUnheard) {
    MarkAlive(tables, now, row, entry.state);
  }
}

bool IsSilent(const VmRow& row) { return row.liveness == Liveness::kDead || row.liveness == Liveness::kUnheard; }

// Returns true if the row is to be removed.
bool UpdateRow(MembershipTables& tables, TimePoint now, VmRow& row) {
  if (row.liveness == Liveness::kLive && now >= row.suspect_at) {
    row.liveness = Liveness::kSuspected;
    tables.changed = true;
  }
  if (row.liveness == Liveness::kSuspected && now >= row.dead_at) {
    MarkDead(tables, now, row);
  }
  if (row.listed || !IsSilent(row)) {
    return false;
  }
  if (row.was_listed) {
    tables.actions.emplace_back(VmTerminated{row.vm});
    return true;
  }
  return now >= row.forget_at;
}

}  // namespace

void ApplyHeartbeat(MembershipTables& tables, TimePoint now, const Heartbeat& heartbeat) {
  if (heartbeat.sender.vm != tables.self.vm) {
    ApplySender(tables, now, heartbeat.sender);
  }
  for (const DigestEntry& entry : heartbeat.digest) {
    ApplyDigestEntry(tables, now, entry);
  }
}

void ApplyPlatformList(MembershipTables& tables, const PlatformListReceived& event) {
  for (auto& [name, row] : tables.vms) {
    row.listed = false;
  }
  for (const ListedVm& listed : event.vms) {
    if (listed.vm == tables.self.vm) {
      continue;
    }
    VmRow& row = FindOrAdd(tables, listed.vm);
    row.listed = true;
    row.was_listed = true;
    if (row.listed_leaving != listed.leaving) {
      row.listed_leaving = listed.leaving;
      tables.changed = true;
    }
    if (row.address.empty()) {
      row.data_centre = listed.data_centre;
      row.region = listed.region;
      row.address = listed.address;
    }
  }
}

void ApplyHeartbeatPeers(MembershipTables& tables, TimePoint now, const HeartbeatPeersChanged& event) {
  tables.send_to = event.send_to;
  tables.hear_from = event.hear_from;
  for (auto& [name, row] : tables.vms) {
    if (row.liveness == Liveness::kLive && IsDirectPeer(tables, name)) {
      // Leaves time for the first direct heartbeats.
      row.suspect_at = std::min(row.suspect_at, now + tables.settings.dead_timeout);
      row.dead_at = std::min(row.dead_at, now + tables.settings.dead_timeout);
    }
  }
}

void ExtendDeadlinesAfterPause(MembershipTables& tables, TimePoint now) {
  const Duration gap = now - std::exchange(tables.last_tick, now);
  if (gap < kPauseHeartbeats * tables.settings.heartbeat_interval) {
    return;
  }
  for (auto& [name, row] : tables.vms) {
    if (row.liveness == Liveness::kLive || row.liveness == Liveness::kSuspected) {
      row.suspect_at += gap;
      row.dead_at += gap;
    }
  }
}

void UpdateLiveness(MembershipTables& tables, TimePoint now) {
  for (auto entry = tables.vms.begin(); entry != tables.vms.end();) {
    if (UpdateRow(tables, now, entry->second)) {
      tables.changed = true;
      entry = tables.vms.erase(entry);
    } else {
      ++entry;
    }
  }
}

}  // namespace amaranthlane::membership
