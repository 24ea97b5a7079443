#ifndef AMARANTHLANE_CORE_COORDINATION_GRANT_TABLE_H_
#define AMARANTHLANE_CORE_COORDINATION_GRANT_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/coordination/messages.h"
#include "core/types.h"

namespace amaranthlane::coordination {

// What a member knows of one VM that sends it heartbeats.
struct GrantEntry {
  Incarnation incarnation = 0;
  std::string address;
  std::string relay_address;
  std::string data_centre;
  bool accepts_notices = false;
  Millicores processor_share = {};
  // When the last grant to the VM expires.
  TimePoint granted_until;
  TimePoint last_heartbeat;
  // The version of the record that the VM has adopted.
  std::uint64_t version = 0;
  std::set<GroupName> groups_in_use;
  std::set<EndpointName> unreachable_endpoints;
  std::set<GroupName> reachable_groups;
  // The groups that the VM has declared released, each with the record version for which it did.
  std::map<GroupName, std::uint64_t> released_groups;
  bool leaving = false;
};

// The grants that this VM has given to other VMs, and what their heartbeats report. Used on one thread.
class GrantTable {
 public:
  // Records the content of a heartbeat. A new incarnation ends the grants given to the previous one, whose process is
  // gone.
  GrantEntry& RecordHeartbeat(const HeartbeatRequest& heartbeat, TimePoint now);

  // True when no VM but `self` can still use the group's former primary: each one has adopted `version`, in which the
  // group is changing, and has no request in flight, or its grant has expired.
  bool Released(const GroupName& group, std::uint64_t version, const VmName& self, TimePoint now) const;

  // The VMs that keep Released() from being true.
  std::vector<VmName> ReleaseBlockers(const GroupName& group, std::uint64_t version, const VmName& self,
                                      TimePoint now) const;

  // The VMs whose last heartbeat came at `since` or later and that aren't shutting down.
  std::vector<gateways::FleetVm> AliveSince(TimePoint since) const;

  const std::map<VmName, GrantEntry>& Entries() const;

 private:
  std::map<VmName, GrantEntry> entries;
};

}  // namespace amaranthlane::coordination

#endif  // AMARANTHLANE_CORE_COORDINATION_GRANT_TABLE_H_
