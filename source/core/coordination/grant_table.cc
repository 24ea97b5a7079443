#include "core/coordination/grant_table.h"

namespace amaranthlane::coordination {

GrantEntry& GrantTable::RecordHeartbeat(const HeartbeatRequest& heartbeat, TimePoint now) {
  GrantEntry& entry = this->entries[heartbeat.vm];
  if (entry.incarnation != heartbeat.incarnation) {
    entry = {};
    entry.incarnation = heartbeat.incarnation;
  }
  entry.address = heartbeat.address;
  entry.relay_address = heartbeat.relay_address;
  entry.data_centre = heartbeat.data_centre;
  entry.accepts_notices = heartbeat.accepts_notices;
  entry.processor_share = heartbeat.processor_share;
  entry.last_heartbeat = now;
  entry.version = heartbeat.version;
  entry.groups_in_use = {heartbeat.groups_in_use.begin(), heartbeat.groups_in_use.end()};
  entry.unreachable_endpoints = {heartbeat.unreachable_endpoints.begin(), heartbeat.unreachable_endpoints.end()};
  entry.reachable_groups = {heartbeat.reachable_groups.begin(), heartbeat.reachable_groups.end()};
  entry.released_groups = heartbeat.released_groups;
  entry.leaving = heartbeat.leaving;
  return entry;
}

bool GrantTable::Released(const GroupName& group, std::uint64_t version, const VmName& self, TimePoint now) const {
  return this->ReleaseBlockers(group, version, self, now).empty();
}

std::vector<VmName> GrantTable::ReleaseBlockers(const GroupName& group, std::uint64_t version, const VmName& self,
                                                TimePoint now) const {
  std::vector<VmName> blockers;
  for (const auto& [vm, entry] : this->entries) {
    const bool released = entry.version >= version && entry.groups_in_use.count(group) == 0;
    if (vm != self && !released && entry.granted_until > now) {
      blockers.push_back(vm);
    }
  }
  return blockers;
}

std::vector<gateways::FleetVm> GrantTable::AliveSince(TimePoint since) const {
  std::vector<gateways::FleetVm> alive;
  for (const auto& [vm, entry] : this->entries) {
    if (entry.last_heartbeat >= since && !entry.leaving) {
      alive.push_back({vm, entry.relay_address, entry.data_centre, entry.accepts_notices, entry.processor_share});
    }
  }
  return alive;
}

const std::map<VmName, GrantEntry>& GrantTable::Entries() const { return this->entries; }

}  // namespace amaranthlane::coordination
