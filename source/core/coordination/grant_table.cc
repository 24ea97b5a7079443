#include "core/coordination/grant_table.h"

namespace amaranthlane::coordination {

GrantEntry& GrantTable::RecordHeartbeat(const Beat& beat, TimePoint now) {
  GrantEntry& entry = this->entries[beat.vm];
  if (entry.incarnation != beat.incarnation) {
    entry = {};
    entry.incarnation = beat.incarnation;
  }
  entry.address = beat.address;
  entry.relay_address = beat.relay_address;
  entry.data_centre = beat.data_centre;
  entry.last_heartbeat = now;
  entry.version = beat.version;
  entry.busy = {beat.busy.begin(), beat.busy.end()};
  entry.suspects = {beat.suspects.begin(), beat.suspects.end()};
  entry.reaches = {beat.reaches.begin(), beat.reaches.end()};
  entry.released_groups = beat.released_groups;
  entry.leaving = beat.leaving;
  return entry;
}

bool GrantTable::Released(const GroupName& group, std::uint64_t version, const VmName& self, TimePoint now) const {
  return this->ReleaseBlockers(group, version, self, now).empty();
}

std::vector<VmName> GrantTable::ReleaseBlockers(const GroupName& group, std::uint64_t version, const VmName& self,
                                                TimePoint now) const {
  std::vector<VmName> blockers;
  for (const auto& [vm, entry] : this->entries) {
    const bool released = entry.version >= version && entry.busy.count(group) == 0;
    if (vm != self && !released && entry.granted_until > now) {
      blockers.push_back(vm);
    }
  }
  return blockers;
}

std::vector<carriers::FleetVm> GrantTable::AliveSince(TimePoint since) const {
  std::vector<carriers::FleetVm> alive;
  for (const auto& [vm, entry] : this->entries) {
    if (entry.last_heartbeat >= since && !entry.leaving) {
      alive.push_back({vm, entry.relay_address, entry.data_centre});
    }
  }
  return alive;
}

const std::map<VmName, GrantEntry>& GrantTable::Entries() const { return this->entries; }

}  // namespace amaranthlane::coordination
