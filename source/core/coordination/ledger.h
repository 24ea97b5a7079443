#ifndef AMARANTHLANE_CORE_COORDINATION_LEDGER_H_
#define AMARANTHLANE_CORE_COORDINATION_LEDGER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/coordination/messages.h"
#include "core/types.h"

namespace amaranthlane::coordination {

// What a member knows of one VM that asked it for promises.
struct LedgerEntry {
  Incarnation incarnation = 0;
  std::string address;
  std::string relay_address;
  std::string data_centre;
  // When the last promise given to it ends.
  TimePoint promised_until;
  TimePoint last_beat;
  // The version of the record that it acts on.
  std::uint64_t version = 0;
  std::set<GroupName> busy;
  std::set<EndpointName> suspects;
  std::set<GroupName> reaches;
  // The groups that it has declared released, and for which version.
  std::map<GroupName, std::uint64_t> released;
  bool leaving = false;
};

// The promises that this VM has given. Used on one thread.
class PromiseLedger {
 public:
  // Notes what a beat says. A new incarnation ends the promises given to the former one: its process is gone.
  LedgerEntry& Note(const Beat& beat, TimePoint now);

  // True when no VM but `self` can still use the group's former primary: each one has adopted `version`, in which the
  // group is changing, and has no answer outstanding, or its promise has ended.
  bool Released(const GroupName& group, std::uint64_t version, const VmName& self, TimePoint now) const;

  // The VMs that keep Released() from being true, for the log.
  std::vector<VmName> Holdouts(const GroupName& group, std::uint64_t version, const VmName& self, TimePoint now) const;

  // VMs heard from since `since` that don't leave.
  std::vector<gateways::FleetVm> AliveSince(TimePoint since) const;

  const std::map<VmName, LedgerEntry>& Entries() const;

 private:
  std::map<VmName, LedgerEntry> entries;
};

}  // namespace amaranthlane::coordination

#endif  // AMARANTHLANE_CORE_COORDINATION_LEDGER_H_
