#include <algorithm>

#include "core/coordination/coordination_system.h"
#include "core/coordination/quorum.h"

// What becomes of the record when the store is restored from an older copy. A record that the store has acknowledged
// may be lost, though VMs have acted on it.
namespace amaranthlane::coordination {

void CoordinationSystem::OnStoreEra(StoreEra era, TimePoint now) {
  if (era <= this->store_era) {
    return;
  }
  this->store_era = era;
  // A revision of an earlier era says nothing about the store's content now.
  this->revision.reset();
  this->era_missing_since = kNever;
  this->next_read = now;
}

StoreEra CoordinationSystem::NewestStoreEra() const { return this->store_era; }

void CoordinationSystem::OnEraWithoutRecord(const std::optional<CoordinationRecord>& earlier, TimePoint now,
                                            Actions& actions) {
  if (this->record && this->recorded_era == this->store_era) {
    // The record was written after the store answered. The next read returns it.
    this->revision.reset();
    return;
  }
  if (earlier) {
    this->Adopt(*earlier, "an earlier era of the store", now, actions);
  }
  this->revision = StoreRevision{this->store_era, 0};
  this->era_missing_since = std::min(this->era_missing_since, now);
  this->RepeatWrite(now, actions);
  // Other VMs may know a record that the store has lost.
  const bool may_begin =
      this->store_era <= kFirstStoreEra || now >= this->era_missing_since + this->settings.isolation_timeout;
  if (!this->record && !this->pending_write && may_begin) {
    CoordinationRecord first;
    first.members = {{this->self.vm, this->self.address}};
    this->Propose(first, now, actions);
  }
  this->ConsiderNewEra(now, actions);
}

void CoordinationSystem::ConsiderNewEra(TimePoint now, Actions& actions) {
  const bool missing = this->revision && this->revision->revision == 0;
  if (!missing || this->pending_write || !this->IsCoordinator()) {
    return;
  }
  if (!this->HearsMajority(now) && now < this->era_missing_since + this->settings.isolation_timeout) {
    return;
  }
  actions.emplace_back(Decision{"beginning the record of a new era of the store",
                                "the store has no record of its era " + std::to_string(this->store_era)});
  this->Propose(*this->record, now, actions);
}

std::string CoordinationSystem::MissingEraReason(Duration timeout, TimePoint now) const {
  const Duration wait = now < this->primary_lease.Expiry() ? timeout : timeout + this->settings.isolation_timeout;
  const bool missing = this->era_missing_since != kNever && now >= this->era_missing_since + wait;
  return missing && this->StoreReachable(now) ? "nobody begins a record for the store's era" : "";
}

void CoordinationSystem::BeginEra(StoreEra era, CoordinationRecord& next) {
  const std::uint64_t first = FirstNumberOfEra(era);
  next.version = std::max(next.version, first) + 1;
  next.epoch = std::max(next.epoch, first) + 1;
  next.fencing_token = std::max(next.fencing_token, first) + 1;
  next.coordinator_since = next.version;
  EraStart start{next.version, {}, this->primary_lease.Expiry(), {}};
  for (const Member& member : this->record ? this->record->members : std::vector<Member>{}) {
    start.former_members.push_back(member.vm);
  }
  for (auto& [name, group] : next.groups) {
    if (!group.changing) {
      start.settled_groups.insert(name);
    }
    group.changing = true;
    group.unconfirmed = true;
    group.changed_at = next.version;
  }
  this->era_start = std::move(start);
}

// While this VM holds a lease by the former record, no coordinator can have had a primary released by a newer one that
// the store has lost. None can any more once so many of the former members have adopted a record of the new era that
// the others can't declare a release.
bool CoordinationSystem::OutlastedRestore(const GroupName& group, TimePoint now) const {
  if (!this->era_start || !this->IsCoordinator() || now >= this->era_start->lease_expiry) {
    return false;
  }
  const EraStart& start = *this->era_start;
  const auto members_adopted =
      std::count_if(start.former_members.begin(), start.former_members.end(), [&](const VmName& member) {
        const auto entry = this->grant_table.Entries().find(member);
        return member == this->self.vm ||
               (entry != this->grant_table.Entries().end() && entry->second.version >= start.version);
      });
  return this->record->coordinator_since == start.version && start.settled_groups.count(group) > 0 &&
         static_cast<std::size_t>(members_adopted) >= LeaseQuorum(start.former_members.size());
}

LostRecordUse CoordinationSystem::PossibleLostRecordUse(TimePoint now) const {
  const Duration max_use = this->settings.store_contact_timeout + this->settings.grant_duration;
  if (now >= this->era_adopted_at + max_use) {
    return {};
  }
  return {this->era_adopted_at - max_use, FirstNumberOfEra(this->record->store_era)};
}

}  // namespace amaranthlane::coordination
