#ifndef AMARANTHLANE_CORE_COORDINATION_MEMBER_HISTORY_H_
#define AMARANTHLANE_CORE_COORDINATION_MEMBER_HISTORY_H_

#include <cstdint>
#include <set>
#include <vector>

#include "core/coordination/record.h"
#include "core/coordination/settings.h"
#include "core/types.h"

namespace amaranthlane::coordination {

// The sets of members that the record has named lately, as far as this process knows. A restore of the store may bring
// one of them back: VMs that know only the restored record then ask that set whether a primary is still used, and no
// later one.
class MemberHistory {
 public:
  explicit MemberHistory(const CoordinationSettings& settings);

  // This VM has adopted a record.
  void OnAdopted(const CoordinationRecord& record, TimePoint now);

  // True when these VMs make up a lease of each set of members that a restore may bring back, if the store held the
  // newest record at `store_contact`. False while this process hasn't known the record for long enough to tell.
  bool CoversAllSets(const std::set<VmName>& vms, TimePoint store_contact) const;

 private:
  struct MemberSet {
    std::uint64_t epoch = 0;
    std::set<VmName> vms;
    // When this VM learned that another set had replaced it; kNever: none has.
    TimePoint replaced_at = kNever;
  };

  // Begins with the newest set and those that the record names as former ones.
  void Begin(const CoordinationRecord& record, TimePoint now);
  void Add(std::uint64_t epoch, std::set<VmName> vms, TimePoint replaced_at);

  CoordinationSettings settings;
  // Oldest first.
  std::vector<MemberSet> sets;
  // Since when no set is missing. The first set of a deployment, of one VM, is left out: whoever begins an era from a
  // copy that names no other one can't rely on it.
  TimePoint complete_since = kNever;
};

}  // namespace amaranthlane::coordination

#endif  // AMARANTHLANE_CORE_COORDINATION_MEMBER_HISTORY_H_
