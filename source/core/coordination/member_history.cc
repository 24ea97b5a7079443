#include "core/coordination/member_history.h"

#include <algorithm>
#include <utility>

#include "core/coordination/quorum.h"

namespace amaranthlane::coordination {

MemberHistory::MemberHistory(const CoordinationSettings& settings) : settings(settings) {}

void MemberHistory::OnAdopted(const CoordinationRecord& record, TimePoint now) {
  if (!this->sets.empty() && this->sets.back().epoch == record.epoch) {
    return;
  }
  if (!this->sets.empty() && this->sets.back().epoch + 1 == record.epoch) {
    this->sets.back().replaced_at = now;
  } else {
    this->Begin(record, now);
  }
  std::set<VmName> members;
  for (const Member& member : record.members) {
    members.insert(member.vm);
  }
  this->Add(record.epoch, std::move(members), kNever);
  // No lease is extended by an older contact to the store.
  const TimePoint oldest_contact = now - this->settings.store_contact_timeout - this->settings.grant_duration;
  std::erase_if(this->sets, [&](const MemberSet& set) {
    return set.replaced_at != kNever && set.replaced_at + this->settings.max_copy_age < oldest_contact;
  });
}

void MemberHistory::Begin(const CoordinationRecord& record, TimePoint now) {
  this->sets.clear();
  this->complete_since = now;
  if (record.store_era > kFirstStoreEra) {
    return;
  }
  std::uint64_t oldest_known = record.epoch;
  for (auto former = record.former.rbegin(); former != record.former.rend() && former->epoch + 1 == oldest_known;
       ++former) {
    oldest_known = former->epoch;
  }
  if (oldest_known > kFirstEpoch + 1) {
    return;
  }
  this->complete_since = TimePoint::min();
  for (const FormerMembers& former : record.former) {
    if (former.epoch >= oldest_known) {
      this->Add(former.epoch, {former.vms.begin(), former.vms.end()}, now);
    }
  }
}

void MemberHistory::Add(std::uint64_t epoch, std::set<VmName> vms, TimePoint replaced_at) {
  this->sets.push_back({epoch, std::move(vms), replaced_at});
}

bool MemberHistory::CoversAllSets(const std::set<VmName>& vms, TimePoint store_contact) const {
  if (this->complete_since == kNever || store_contact < this->complete_since + this->settings.max_copy_age) {
    return false;
  }
  return std::all_of(this->sets.begin(), this->sets.end(), [&](const MemberSet& set) {
    const bool is_first = set.epoch == kFirstEpoch;
    const bool outdated = set.replaced_at != kNever && store_contact >= set.replaced_at + this->settings.max_copy_age;
    const auto granters =
        std::count_if(set.vms.begin(), set.vms.end(), [&vms](const VmName& vm) { return vms.count(vm) > 0; });
    return is_first || outdated || static_cast<std::size_t>(granters) >= LeaseQuorum(set.vms.size());
  });
}

}  // namespace amaranthlane::coordination
