#include <algorithm>
#include <utility>

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
  this->era_known_since = now;
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
  next.restore_outlived = false;
  next.restored_to_beginning = era > kFirstStoreEra && (!this->record || this->record->epoch <= kFirstEpoch);
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

Duration CoordinationSystem::MaxLostRecordUse() const {
  return this->settings.fresh_contact_timeout + this->settings.grant_duration;
}

bool CoordinationSystem::LostRecordsInUse(TimePoint now) const {
  const bool to_beginning = this->record && this->record->restored_to_beginning;
  const Duration max_use =
      to_beginning ? this->settings.store_contact_timeout + this->settings.grant_duration : this->MaxLostRecordUse();
  return this->RestoreUnsettled() && now < this->era_known_since + max_use;
}

bool CoordinationSystem::RestoreUnsettled() const {
  const bool outlived = this->record && this->record->store_era == this->store_era && this->record->restore_outlived;
  return this->store_era > kFirstStoreEra && !outlived;
}

// A coordinator orders promotions for `fresh_contact_timeout` after its last contact to the store, and a
// `grant_duration` later such an order has taken effect. In an earlier era, nobody has had contact since this VM knew
// of the present one. In this era, an earlier coordinator has had none since the store acknowledged that this VM took
// over.
TimePoint CoordinationSystem::EarlierOrdersEndAt() const {
  const bool began_era = this->era_start && this->record->coordinator_since == this->era_start->version;
  const TimePoint ended_from = began_era ? this->era_known_since : this->coordinator_from;
  return ended_from + this->MaxLostRecordUse();
}

void CoordinationSystem::TidyRecord(TimePoint now, Actions& actions) {
  const bool may_write = this->IsCoordinator() && !this->pending_write && this->revision &&
                         this->revision->revision != 0 && !this->report.leaving;
  if (!may_write || std::any_of(this->record->groups.begin(), this->record->groups.end(),
                                [](const auto& group) { return group.second.changing; })) {
    return;
  }
  const bool has_expired = std::any_of(this->record->former.begin(), this->record->former.end(),
                                       [&](const FormerMembers& former) { return this->GrantsExpired(former, now); });
  const bool outlived = !this->record->groups.empty() && this->RestoreUnsettled() && !this->LostRecordsInUse(now);
  if (has_expired || outlived) {
    actions.emplace_back(Decision{"tidying the record", has_expired ? "grants of former members have expired"
                                                                    : "no VM can act on a lost record any more"});
    CoordinationRecord next = *this->record;
    next.restore_outlived = next.restore_outlived || outlived;
    this->Propose(std::move(next), now, actions);
  }
}

}  // namespace amaranthlane::coordination
