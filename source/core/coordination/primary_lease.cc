#include "core/coordination/primary_lease.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "core/coordination/quorum.h"

namespace amaranthlane::coordination {

PrimaryLease::PrimaryLease(const CoordinationSettings& settings) : settings(settings) {}

void PrimaryLease::AddGrant(const VmName& member, std::uint64_t epoch, TimePoint sent_at, Duration store_contact_age) {
  LeaseGrant& grant = this->grants[member];
  if (epoch >= grant.epoch && sent_at >= grant.sent_at) {
    grant = {epoch, sent_at, store_contact_age};
  }
}

void PrimaryLease::Extend(const CoordinationRecord& record, const MemberHistory& history) {
  std::vector<std::pair<VmName, LeaseGrant>> current;
  for (const Member& member : record.members) {
    const auto found = this->grants.find(member.vm);
    if (found != this->grants.end() && found->second.epoch == record.epoch) {
      current.emplace_back(member.vm, found->second);
    }
  }
  std::sort(current.begin(), current.end(),
            [](const auto& a, const auto& b) { return a.second.sent_at > b.second.sent_at; });
  const std::size_t needed = std::max<std::size_t>(LeaseQuorum(record.members.size()), 1);
  std::set<VmName> granters;
  Duration store_contact_age = Duration::max();
  TimePoint store_contact = TimePoint::min();
  // The newest grants that suffice give the longest lease.
  for (const auto& [member, grant] : current) {
    granters.insert(member);
    store_contact_age = std::min(store_contact_age, grant.store_contact_age);
    store_contact = std::max(store_contact, grant.sent_at - grant.store_contact_age);
    if (granters.size() < needed) {
      continue;
    }
    const Duration limit = history.CoversAllSets(granters, store_contact) ? this->settings.store_contact_timeout
                                                                          : this->settings.fresh_contact_timeout;
    if (store_contact_age <= limit) {
      this->expiry =
          std::max(this->expiry, grant.sent_at + this->settings.grant_duration - this->settings.clock_drift_margin);
      return;
    }
  }
}

TimePoint PrimaryLease::Expiry() const { return this->expiry; }

}  // namespace amaranthlane::coordination
