#ifndef AMARANTHLANE_CORE_COORDINATION_PRIMARY_LEASE_H_
#define AMARANTHLANE_CORE_COORDINATION_PRIMARY_LEASE_H_

#include <map>

#include "core/coordination/record.h"
#include "core/coordination/settings.h"
#include "core/types.h"

namespace amaranthlane::coordination {

// Until when this VM may use primaries: so many members have promised that nobody can change one before then without
// its consent. The right counts from the sending of the request, on this VM's own clock, and only ever grows.
class PrimaryLease {
 public:
  explicit PrimaryLease(const CoordinationSettings& settings);

  // A member promised for `epoch`, asked at `sent_at`. `store_contact_age` is how long it hadn't heard from the store.
  void AddGrant(const VmName& member, std::uint64_t epoch, TimePoint sent_at, Duration store_contact_age);

  // Derives the deadline anew from the promises of the record's members.
  void Extend(const CoordinationRecord& record);

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
