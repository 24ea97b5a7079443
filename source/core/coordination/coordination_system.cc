#include "core/coordination/coordination_system.h"

#include <algorithm>
#include <utility>

#include "core/coordination/quorum.h"

namespace amaranthlane::coordination {

namespace {

// A VM counts as part of the fleet if its last heartbeat is at most this many heartbeat intervals old.
constexpr int kFleetHeartbeats = 4;

// None if the time was never set.
std::optional<Duration> AgeOf(TimePoint at, TimePoint now) {
  return at == TimePoint() ? std::nullopt : std::optional<Duration>(now - at);
}

}  // namespace

CoordinationSystem::CoordinationSystem(Self self, const CoordinationSettings& settings)
    : self(std::move(self)), settings(settings), member_history(settings), primary_lease(settings) {}

void CoordinationSystem::Tick(TimePoint now, Actions& actions) {
  if (this->started_at == kNever) {
    this->started_at = now;
  }
  this->UpdateFleetSize(now);
  this->PollStore(now, actions);
  if (!this->record) {
    return;
  }
  this->UpdateRetirements(now);
  this->DeclareReleases(now, actions);
  this->SendHeartbeats(now, actions);
  this->ConsiderNewEra(now, actions);
  this->ReplaceMembers(now, actions);
  this->ConsiderTakeover(now, actions);
  this->TidyRecord(now, actions);
}

void CoordinationSystem::PollStore(TimePoint now, Actions& actions) {
  if (this->read_in_flight || now < this->next_read) {
    return;
  }
  const bool outcome_unknown = this->pending_write && !this->pending_write->in_flight;
  bool read_needed = !this->record || !this->store_confirmed || outcome_unknown;
  if (this->record) {
    read_needed = read_needed || this->recorded_era < this->store_era;
    read_needed = read_needed || this->record->MemberIndex(this->self.vm) < this->settings.store_poller_count;
    read_needed = read_needed || (this->record->IsMember(this->self.vm) &&
                                  now >= this->NewestStoreContact() + this->settings.store_poll_interval * 2);
    for (const Member& member : this->record->members) {
      read_needed =
          read_needed || (member.vm != this->self.vm && this->IsSilent(member.vm, this->settings.failure_timeout, now));
    }
  }
  if (read_needed) {
    this->read_in_flight = true;
    this->read_sent_at = now;
    this->next_read = now + this->settings.store_poll_interval;
    actions.emplace_back(ReadRecord{});
  }
}

void CoordinationSystem::SendHeartbeats(TimePoint now, Actions& actions) {
  for (const Member& member : this->record->members) {
    if (member.vm == this->self.vm) {
      if (this->store_confirmed) {
        this->primary_lease.AddGrant(member.vm, this->record->epoch, now, now - this->last_store_contact);
      }
      continue;
    }
    const MemberContact& contact = this->contacts[member.vm];
    if (!contact.awaiting_reply && now >= contact.next_heartbeat) {
      this->SendHeartbeatTo(member, now, actions);
    }
  }
  this->primary_lease.Extend(*this->record, this->member_history);
}

void CoordinationSystem::SendHeartbeatTo(const Member& member, TimePoint now, Actions& actions) {
  MemberContact& contact = this->contacts[member.vm];
  if (contact.awaiting_reply) {
    contact.resend_pending = true;
    return;
  }
  contact.awaiting_reply = true;
  contact.resend_pending = false;
  contact.next_heartbeat = now + this->settings.heartbeat_interval;
  HeartbeatRequest heartbeat;
  heartbeat.vm = this->self.vm;
  heartbeat.incarnation = this->self.incarnation;
  heartbeat.address = this->self.address;
  heartbeat.relay_address = this->self.relay_address;
  heartbeat.data_centre = this->self.data_centre;
  heartbeat.processor_share = this->self.processor_share;
  heartbeat.reachable_groups = this->report.reachable_groups;
  heartbeat.fleet_digest = this->report.fleet_digest;
  heartbeat.version = this->record->version;
  if (contact.version < this->record->version) {
    heartbeat.record = this->record;
  }
  heartbeat.groups_in_use = this->report.groups_in_use;
  heartbeat.released_groups = this->released_groups;
  heartbeat.unreachable_endpoints = this->report.unreachable_endpoints;
  heartbeat.leaving = this->report.leaving;
  heartbeat.store = this->report.store;
  actions.emplace_back(SendHeartbeat{member, std::move(heartbeat)});
}

HeartbeatReply CoordinationSystem::OnHeartbeat(const HeartbeatRequest& heartbeat, TimePoint now, Actions& actions) {
  if (heartbeat.record) {
    this->Adopt(*heartbeat.record, "heartbeat from " + heartbeat.vm, now, actions);
  }
  this->NoteTakeoverAdoption(heartbeat, now);
  GrantEntry& entry = this->grant_table.RecordHeartbeat(heartbeat, now);
  HeartbeatReply reply;
  reply.vm = this->self.vm;
  reply.incarnation = this->self.incarnation;
  reply.store = this->report.store;
  reply.configuration_age = AgeOf(this->report.store_currency.configuration_at, now);
  reply.directory_age = AgeOf(this->report.store_currency.directory_at, now);
  reply.fleet_size = this->FleetSize();
  reply.wants_handover = this->handover_requested || this->HasLargerSuccessor(now);
  reply.store_contact_age = now - this->last_store_contact;
  if (!this->record) {
    return reply;
  }
  reply.version = this->record->version;
  if (heartbeat.version < this->record->version) {
    reply.record = this->record;
  }
  const bool same_version = this->store_confirmed && heartbeat.version == this->record->version;
  if (same_version && this->record->IsMember(this->self.vm) && !this->UsesReleasedGroup(heartbeat)) {
    reply.granted = true;
    entry.granted_until = std::max(entry.granted_until, now + this->settings.grant_duration);
  }
  this->DeclareReleases(now, actions);
  return reply;
}

void CoordinationSystem::NoteTakeoverAdoption(const HeartbeatRequest& heartbeat, TimePoint now) {
  if (!this->IsCoordinator() || heartbeat.version < this->record->coordinator_since) {
    return;
  }
  const auto known = this->grant_table.Entries().find(heartbeat.vm);
  const bool adopted_before = known != this->grant_table.Entries().end() &&
                              known->second.incarnation == heartbeat.incarnation &&
                              known->second.version >= this->record->coordinator_since;
  if (!adopted_before) {
    this->last_takeover_adoption = now;
  }
}

TimePoint CoordinationSystem::LastTakeoverAdoption() const { return this->last_takeover_adoption; }

void CoordinationSystem::OnHeartbeatReply(const VmName& member, const HeartbeatReply& reply, TimePoint sent_at,
                                          TimePoint now, Actions& actions) {
  MemberContact& contact = this->contacts[member];
  contact.awaiting_reply = false;
  contact.last_reply = now;
  contact.version = reply.version;
  contact.handover_requested_since = reply.wants_handover ? std::min(contact.handover_requested_since, now) : kNever;
  contact.connection_refused = false;
  contact.fleet_size = reply.fleet_size;
  contact.last_store_contact = sent_at - reply.store_contact_age;
  const std::uint64_t asked_version = this->record ? this->record->version : 0;
  if (reply.granted && this->record && reply.version == this->record->version) {
    this->primary_lease.AddGrant(member, this->record->epoch, sent_at, reply.store_contact_age);
    this->primary_lease.Extend(*this->record, this->member_history);
  }
  if (reply.record) {
    this->Adopt(*reply.record, "heartbeat reply from " + member, now, actions);
  }
  const auto found = std::find_if(this->record->members.begin(), this->record->members.end(),
                                  [&member](const Member& other) { return other.vm == member; });
  const bool changed = this->record->version != asked_version || reply.version < this->record->version;
  if (found != this->record->members.end() && (contact.resend_pending || changed)) {
    this->SendHeartbeatTo(*found, now, actions);
  }
}

void CoordinationSystem::OnRecordNotice(const CoordinationRecord& received, TimePoint now, Actions& actions) {
  this->Adopt(received, "notice from " + (received.members.empty() ? VmName() : received.members.front().vm), now,
              actions);
}

void CoordinationSystem::OnHeartbeatFailed(const VmName& member, bool connection_refused, TimePoint now) {
  MemberContact& contact = this->contacts[member];
  contact.awaiting_reply = false;
  contact.connection_refused = connection_refused;
  contact.next_heartbeat = std::max(contact.next_heartbeat, now + this->settings.heartbeat_interval / 4);
}

void CoordinationSystem::OnRecordRead(const std::optional<CoordinationRecord>& read, const StoreRevision& read_revision,
                                      TimePoint now, Actions& actions) {
  this->read_in_flight = false;
  if (read_revision.era < this->store_era) {
    // The store was restored after it answered.
    this->next_read = now;
    return;
  }
  this->last_store_answer = now;
  this->OnStoreEra(read_revision.era, now);
  if (read_revision.revision == 0) {
    this->OnEraWithoutRecord(read, now, actions);
    return;
  }
  this->recorded_era = read_revision.era;
  this->last_store_contact = std::max(this->last_store_contact, this->read_sent_at);
  this->store_confirmed = true;
  if (this->pending_write && read->update_id == this->pending_write->record.update_id) {
    this->FinishWrite(read_revision, now, actions);
    return;
  }
  if (!this->record || read->version >= this->record->version) {
    this->revision = read_revision;
  }
  this->Adopt(*read, "store", now, actions);
  this->RepeatWrite(now, actions);
}

void CoordinationSystem::RepeatWrite(TimePoint now, Actions& actions) {
  if (!this->pending_write || this->pending_write->in_flight) {
    return;
  }
  const bool takeover =
      this->record && this->pending_write->record.Coordinator()->vm == this->self.vm && !this->IsCoordinator();
  if (this->pending_write->expected_revision == this->revision && (!takeover || !this->TakeoverReason(now).empty())) {
    this->pending_write->in_flight = true;
    this->pending_write->sent_at = now;
    actions.emplace_back(WriteRecord{this->pending_write->record, this->pending_write->expected_revision});
  } else {
    this->pending_write.reset();
  }
}

void CoordinationSystem::OnReadFailed(TimePoint now) {
  this->read_in_flight = false;
  const Duration pause =
      this->pending_write || !this->record ? this->settings.heartbeat_interval / 3 : this->settings.store_poll_interval;
  this->next_read = now + pause;
}

void CoordinationSystem::OnRecordWritten(const std::string& update_id, WriteResult result,
                                         const StoreRevision& written_revision, TimePoint now, Actions& actions) {
  if (!this->pending_write || this->pending_write->record.update_id != update_id) {
    return;
  }
  if (result == WriteResult::kWritten) {
    this->last_store_answer = now;
    this->last_store_contact = std::max(this->last_store_contact, this->pending_write->sent_at);
    this->FinishWrite(written_revision, now, actions);
    return;
  }
  // The outcome is unknown until the record is read from the store again.
  this->pending_write->in_flight = false;
  this->next_read = result == WriteResult::kConflict ? now : now + this->settings.heartbeat_interval / 6;
}

void CoordinationSystem::FinishWrite(const StoreRevision& written_revision, TimePoint now, Actions& actions) {
  const CoordinationRecord written = std::move(this->pending_write->record);
  this->pending_write.reset();
  this->store_confirmed = true;
  if (written_revision.era == this->store_era) {
    this->revision = written_revision;
  }
  std::map<VmName, std::string> recipients;
  for (const auto& [vm, entry] : this->grant_table.Entries()) {
    if (entry.last_heartbeat + this->settings.grant_duration > now) {
      recipients[vm] = entry.address;
    }
  }
  // The members that this update replaces may not learn of it from any other VM.
  for (const Member& member : this->record ? this->record->members : std::vector<Member>{}) {
    recipients[member.vm] = member.address;
  }
  this->Adopt(written, "own update", now, actions);
  for (const auto& [vm, address] : recipients) {
    if (!written.IsMember(vm)) {
      actions.emplace_back(SendRecordNotice{vm, address, written});
    }
  }
}

void CoordinationSystem::Adopt(const CoordinationRecord& newer, const std::string& source, TimePoint now,
                               Actions& actions) {
  if (this->record && newer.version <= this->record->version) {
    return;
  }
  const bool was_coordinator = this->IsCoordinator();
  const std::vector<Member> former = this->record ? this->record->members : std::vector<Member>{};
  if (source != "store" && source != "own update") {
    this->revision.reset();
  }
  if (newer.store_era > this->store_era) {
    this->OnStoreEra(newer.store_era, now);
  }
  if (this->era_start && newer.version < this->era_start->version) {
    // The first record of the era was made without it, and its writer may go on now that this VM has adopted it.
    this->era_start->settled_groups.clear();
  }
  this->recorded_era = std::max(this->recorded_era, newer.store_era);
  if (this->recorded_era == this->store_era) {
    this->era_missing_since = kNever;
  }
  const bool new_era = !this->record || newer.store_era > this->record->store_era;
  // Otherwise the grants that this VM has stay valid, and no change awaits its release.
  const bool is_urgent = new_era || newer.epoch != this->record->epoch || newer.groups != this->record->groups;
  this->MarkChangedGroupsInUse(newer);
  this->record = newer;
  this->member_history.OnAdopted(newer, now);
  for (const Member& member : newer.members) {
    const bool known = std::any_of(former.begin(), former.end(), [&](const Member& m) { return m.vm == member.vm; });
    if (!known) {
      this->contacts[member.vm].last_reply = now;
    }
  }
  this->UpdateRetirements(now);
  if (this->IsCoordinator() && (new_era || !was_coordinator)) {
    this->coordinator_from = now;
  }
  if (this->IsCoordinator() && !was_coordinator) {
    this->next_replacement = now + this->settings.initial_heartbeat_wait;
  }
  actions.emplace_back(RecordAdopted{source});
  for (const Member& member : newer.members) {
    if (is_urgent && member.vm != this->self.vm) {
      this->SendHeartbeatTo(member, now, actions);
    }
  }
}

// Updates the groups in use with the changes of a newer record that isn't adopted yet. A group that is changing counts
// as in use by this VM until its next report.
void CoordinationSystem::MarkChangedGroupsInUse(const CoordinationRecord& newer) {
  for (const auto& [name, group] : newer.groups) {
    const GroupState* before = nullptr;
    if (this->record && this->record->groups.count(name) > 0) {
      before = &this->record->groups.at(name);
    }
    if (before != nullptr && *before == group) {
      continue;
    }
    std::erase(this->report.groups_in_use, name);
    if (group.changing) {
      this->report.groups_in_use.push_back(name);
    }
  }
}

void CoordinationSystem::Report(const LocalReport& update, TimePoint now, Actions& actions) {
  const bool changed = update.groups_in_use != this->report.groups_in_use ||
                       update.unreachable_endpoints != this->report.unreachable_endpoints ||
                       update.leaving != this->report.leaving;
  this->report = update;
  if (this->record) {
    this->DeclareReleases(now, actions);
  }
  if (!changed || !this->record) {
    return;
  }
  for (const Member& member : this->record->members) {
    if (member.vm != this->self.vm) {
      this->SendHeartbeatTo(member, now, actions);
    }
  }
}

bool CoordinationSystem::ProposeGroups(const std::map<GroupName, GroupState>& groups, const LogHoldersByGroup& logs,
                                       const std::string& reason, TimePoint now, Actions& actions) {
  if (!this->IsCoordinator() || this->pending_write || !this->revision) {
    return false;
  }
  CoordinationRecord next = *this->record;
  for (const auto& [name, group] : groups) {
    next.groups[name] = group;
    next.groups[name].changed_at = next.version + 1;
  }
  next.logs = logs;
  actions.emplace_back(Decision{"proposing group states", reason});
  this->Propose(std::move(next), now, actions);
  return true;
}

void CoordinationSystem::Propose(CoordinationRecord next, TimePoint now, Actions& actions) {
  const StoreRevision expected = this->revision.value_or(StoreRevision{this->store_era, 0});
  if (expected.revision == 0) {
    this->BeginEra(expected.era, next);
  } else {
    next.version = this->record->version + 1;
  }
  next.store_era = expected.era;
  std::erase_if(next.former, [&](const FormerMembers& former) { return this->GrantsExpired(former, now); });
  if (this->record && next.epoch != this->record->epoch) {
    FormerMembers replaced{this->record->epoch, next.version, {}};
    for (const Member& member : this->record->members) {
      replaced.vms.push_back(member.vm);
    }
    next.former.push_back(std::move(replaced));
  }
  next.update_id =
      this->self.vm + "/" + std::to_string(this->self.incarnation) + "/" + std::to_string(++this->update_count);
  this->pending_write = PendingWrite{next, expected, now, now, true};
  actions.emplace_back(WriteRecord{std::move(next), expected});
}

void CoordinationSystem::RequestHandover(bool wanted) { this->handover_requested = wanted; }

const std::string& CoordinationSystem::OwnAddress() const { return this->self.address; }

const CoordinationRecord* CoordinationSystem::Record() const { return this->record ? &*this->record : nullptr; }

bool CoordinationSystem::IsCoordinator() const {
  return this->record && !this->record->members.empty() && this->record->members.front().vm == this->self.vm;
}

bool CoordinationSystem::MayUsePrimary(const GroupName& group, TimePoint now) const {
  if (!this->record || now >= this->primary_lease.Expiry()) {
    return false;
  }
  const auto found = this->record->groups.find(group);
  return found != this->record->groups.end() && !found->second.changing;
}

TimePoint CoordinationSystem::LeaseExpiry() const { return this->primary_lease.Expiry(); }

bool CoordinationSystem::MayPromote(TimePoint now) const {
  return this->IsCoordinator() && now + this->settings.promotion_window < this->primary_lease.Expiry() &&
         now <= this->last_store_contact + this->settings.fresh_contact_timeout;
}

bool CoordinationSystem::CanRelease(TimePoint now) const {
  const std::vector<std::vector<VmName>> sets = this->GrantingSets(now);
  return std::all_of(sets.begin(), sets.end(), [&](const std::vector<VmName>& members) {
    const auto heard = std::count_if(members.begin(), members.end(), [&](const VmName& member) {
      const auto entry = this->grant_table.Entries().find(member);
      return member == this->self.vm ||
             (entry != this->grant_table.Entries().end() &&
              entry->second.last_heartbeat + this->settings.heartbeat_interval * kFleetHeartbeats >= now);
    });
    return static_cast<std::size_t>(heard) >= BlockingQuorum(members.size());
  });
}

bool CoordinationSystem::Released(const GroupName& group, TimePoint now) const {
  return !this->LostRecordsInUse(now) && this->ReleaseBlockers(group, now).empty();
}

std::vector<VmName> CoordinationSystem::ReleaseBlockers(const GroupName& group, TimePoint now) const {
  std::vector<VmName> blockers;
  if (!this->HasDeclaredRelease(this->self.vm, group)) {
    blockers = this->grant_table.ReleaseBlockers(group, this->record->ReleaseVersion(group), this->self.vm, now);
    blockers.push_back(this->self.vm);
  }
  for (const std::vector<VmName>& members : this->GrantingSets(now)) {
    std::vector<VmName> missing;
    std::copy_if(members.begin(), members.end(), std::back_inserter(missing),
                 [&](const VmName& member) { return !this->HasDeclaredRelease(member, group); });
    if (members.size() - missing.size() < BlockingQuorum(members.size())) {
      blockers.insert(blockers.end(), missing.begin(), missing.end());
    }
  }
  return blockers;
}

std::map<EndpointName, std::size_t> CoordinationSystem::UnreachableCounts(TimePoint now) const {
  std::map<EndpointName, std::size_t> unreachable_counts;
  for (const EndpointName& endpoint : this->report.unreachable_endpoints) {
    ++unreachable_counts[endpoint];
  }
  for (const auto& [vm, entry] : this->grant_table.Entries()) {
    if (!entry.unreachable_endpoints.empty() && this->HeardRecently(vm, entry, now)) {
      for (const EndpointName& endpoint : entry.unreachable_endpoints) {
        ++unreachable_counts[endpoint];
      }
    }
  }
  return unreachable_counts;
}

std::size_t CoordinationSystem::ReachableCount(const GroupName& group, TimePoint now) const {
  const std::vector<GroupName>& own = this->report.reachable_groups;
  std::size_t reachable_count = std::find(own.begin(), own.end(), group) != own.end() ? 1 : 0;
  for (const auto& [vm, entry] : this->grant_table.Entries()) {
    reachable_count += this->HeardRecently(vm, entry, now) && entry.reachable_groups.count(group) > 0 ? 1 : 0;
  }
  return reachable_count;
}

bool CoordinationSystem::IsUnreachable(const EndpointName& endpoint) const {
  const std::vector<EndpointName>& own = this->report.unreachable_endpoints;
  return std::find(own.begin(), own.end(), endpoint) != own.end();
}

bool CoordinationSystem::HeardRecently(const VmName& vm, const GrantEntry& entry, TimePoint now) const {
  return vm != this->self.vm && entry.last_heartbeat + this->settings.heartbeat_interval * kFleetHeartbeats >= now;
}

TimePoint CoordinationSystem::NewestStoreContact() const {
  TimePoint newest = this->last_store_contact;
  for (const Member& member : this->record->members) {
    const auto contact = this->contacts.find(member.vm);
    newest = contact == this->contacts.end() ? newest : std::max(newest, contact->second.last_store_contact);
  }
  return newest;
}

bool CoordinationSystem::WritePending() const { return this->pending_write.has_value(); }

bool CoordinationSystem::WriteOverdue(TimePoint now) const {
  return this->pending_write && now > this->pending_write->proposed_at + this->settings.reply_timeout * 2;
}

void CoordinationSystem::UpdateFleetSize(TimePoint now) {
  if (now < this->next_fleet_size_update) {
    return;
  }
  this->next_fleet_size_update = now + this->settings.heartbeat_interval;
  this->heard_vms = 1;
  if (!this->record || !this->record->IsMember(this->self.vm)) {
    return;
  }
  TimePoint newest;
  for (const auto& [vm, entry] : this->grant_table.Entries()) {
    newest = std::max(newest, entry.last_heartbeat);
  }
  for (const auto& [vm, entry] : this->grant_table.Entries()) {
    this->heard_vms += this->HeardRecently(vm, entry, newest) ? 1 : 0;
  }
}

std::size_t CoordinationSystem::FleetSize() const {
  std::size_t size = this->heard_vms;
  for (const auto& [vm, contact] : this->contacts) {
    size = std::max<std::size_t>(size, contact.fleet_size);
  }
  return size;
}

const GrantTable& CoordinationSystem::Grants() const { return this->grant_table; }

bool CoordinationSystem::IsSilent(const VmName& member, Duration limit, TimePoint now) const {
  const auto found = this->contacts.find(member);
  return found == this->contacts.end() || now >= found->second.last_reply + limit;
}

}  // namespace amaranthlane::coordination
