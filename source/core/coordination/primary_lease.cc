#include "core/coordination/primary_lease.h"

#include <algorithm>
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

void PrimaryLease::Extend(const CoordinationRecord& record) {
  std::vector<LeaseGrant> current;
  for (const Member& member : record.members) {
    const auto found = this->grants.find(member.vm);
    if (found != this->grants.end() && found->second.epoch == record.epoch) {
      current.push_back(found->second);
    }
  }
  const std::size_t needed = LeaseQuorum(record.members.size());
  if (needed == 0 || current.size() < needed) {
    return;
  }
  std::sort(current.begin(), current.end(),
            [](const LeaseGrant& a, const LeaseGrant& b) { return a.sent_at > b.sent_at; });
  current.resize(needed);
  const TimePoint earliest = current.back().sent_at;
  Duration store_contact_age = Duration::max();
  for (const LeaseGrant& grant : current) {
    store_contact_age = std::min(store_contact_age, grant.store_contact_age);
  }
  if (store_contact_age <= this->settings.store_contact_timeout) {
    this->expiry = std::max(this->expiry, earliest + this->settings.grant_duration - this->settings.clock_drift_margin);
  }
}

TimePoint PrimaryLease::Expiry() const { return this->expiry; }

}  // namespace amaranthlane::coordination
