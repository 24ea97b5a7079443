#ifndef AMARANTHLANE_CORE_COORDINATION_PRIMARY_LEASE_H_
#define AMARANTHLANE_CORE_COORDINATION_PRIMARY_LEASE_H_

#include <map>

#include "core/coordination/member_history.h"
#include "core/coordination/record.h"
#include "core/coordination/settings.h"
#include "core/types.h"

namespace amaranthlane::coordination {

// The time until which this VM may use primaries. Enough members have given it grants that no primary can be changed
// before then without this VM's consent. The lease counts from the sending of the heartbeats, on this VM's own clock,
// and its end never moves back.
class PrimaryLease {
 public:
  explicit PrimaryLease(const CoordinationSettings& settings);

  // A member gave a grant for `epoch` in reply to a heartbeat sent at `sent_at`. `store_contact_age` is the time since
  // the member last had an answer from the store.
  void AddGrant(const VmName& member, std::uint64_t epoch, TimePoint sent_at, Duration store_contact_age);

  // Extends the lease as far as the grants of the record's members allow. Without recent contact to the store, the
  // grants must also make up a lease of each set of members that a restore may bring back.
  void Extend(const CoordinationRecord& record, const MemberHistory& history);

  TimePoint Expiry() const;

 private:
  struct LeaseGrant {
    std::uint64_t epoch = 0;
    TimePoint sent_at;
    Duration store_contact_age{};
  };

  CoordinationSettings settings;
  std::map<VmName, LeaseGrant> grants;
  TimePoint expiry;
};

}  // namespace amaranthlane::coordination

#endif  // AMARANTHLANE_CORE_COORDINATION_PRIMARY_LEASE_H_
