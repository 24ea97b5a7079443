#include "core/coordination/coordination_system.h"

#include <algorithm>
#include <utility>

#include "core/coordination/quorum.h"

namespace amaranthlane::coordination {

namespace {

// VMs count as part of the fleet when they were heard from within so many beats.
constexpr int kFleetBeats = 4;

}  // namespace

CoordinationSystem::CoordinationSystem(Self self, const CoordinationSettings& settings)
    : self(std::move(self)), settings(settings), rights(settings) {}

void CoordinationSystem::Tick(TimePoint now, Actions& actions) {
  if (this->started_at == kNever) {
    this->started_at = now;
  }
  this->PollStore(now, actions);
  if (!this->record) {
    return;
  }
  this->NoteRetirements(now);
  this->DeclareReleases(now, actions);
  this->SendBeats(now, actions);
  this->RepairMembers(now, actions);
  this->ConsiderTakeover(now, actions);
}

void CoordinationSystem::PollStore(TimePoint now, Actions& actions) {
  if (this->read_outstanding || now < this->next_read) {
    return;
  }
  const bool unsettled = this->pending && !this->pending->answered;
  bool reader = !this->record || !this->confirmed || unsettled;
  if (this->record) {
    reader = reader || this->record->Place(this->self.vm) < this->settings.store_readers;
    for (const Member& member : this->record->members) {
      reader = reader || (member.vm != this->self.vm && this->Silent(member.vm, this->settings.detection, now));
    }
  }
  if (reader) {
    this->read_outstanding = true;
    this->next_read = now + this->settings.store_poll;
    actions.emplace_back(ReadRecord{});
  }
}

void CoordinationSystem::SendBeats(TimePoint now, Actions& actions) {
  for (const Member& member : this->record->members) {
    if (member.vm == this->self.vm) {
      if (this->confirmed) {
        this->rights.Add(member.vm, this->record->epoch, now, now - this->last_store_contact);
      }
      continue;
    }
    const MemberContact& contact = this->contacts[member.vm];
    if (!contact.outstanding && now >= contact.next_beat) {
      this->BeatTo(member, now, actions);
    }
  }
  this->rights.Extend(*this->record);
}

void CoordinationSystem::BeatTo(const Member& member, TimePoint now, Actions& actions) {
  MemberContact& contact = this->contacts[member.vm];
  if (contact.outstanding) {
    contact.resend = true;
    return;
  }
  contact.outstanding = true;
  contact.resend = false;
  contact.next_beat = now + this->settings.beat;
  Beat beat;
  beat.vm = this->self.vm;
  beat.incarnation = this->self.incarnation;
  beat.address = this->self.address;
  beat.relay_address = this->self.relay_address;
  beat.data_centre = this->self.data_centre;
  beat.reaches = this->report.reaches;
  beat.fleet_digest = this->report.fleet_digest;
  beat.version = this->record->version;
  if (contact.version < this->record->version) {
    beat.record = this->record;
  }
  beat.busy = this->report.busy;
  beat.released = this->released;
  beat.suspects = this->report.suspects;
  beat.leaving = this->report.leaving;
  beat.store = this->report.store;
  actions.emplace_back(SendBeat{member, std::move(beat)});
}

BeatReply CoordinationSystem::OnBeat(const Beat& beat, TimePoint now, Actions& actions) {
  if (beat.record) {
    this->Adopt(*beat.record, "beat of " + beat.vm, now, actions);
  }
  LedgerEntry& entry = this->ledger.Note(beat, now);
  BeatReply reply;
  reply.vm = this->self.vm;
  reply.incarnation = this->self.incarnation;
  reply.store = this->report.store;
  reply.fleet_size = this->FleetSize();
  reply.wants_relief = this->relief_wanted;
  reply.store_silence = now - this->last_store_contact;
  if (!this->record) {
    return reply;
  }
  reply.version = this->record->version;
  if (beat.version < this->record->version) {
    reply.record = this->record;
  }
  const bool same = this->confirmed && beat.version == this->record->version;
  if (same && this->record->IsMember(this->self.vm) && !this->ReleasedBefore(beat)) {
    reply.promised = true;
    entry.promised_until = std::max(entry.promised_until, now + this->settings.promise);
  }
  this->DeclareReleases(now, actions);
  return reply;
}

void CoordinationSystem::OnBeatReply(const VmName& member, const BeatReply& reply, TimePoint sent_at, TimePoint now,
                                     Actions& actions) {
  MemberContact& contact = this->contacts[member];
  contact.outstanding = false;
  contact.last_reply = now;
  contact.version = reply.version;
  contact.relief_since = reply.wants_relief ? std::min(contact.relief_since, now) : kNever;
  contact.refused = false;
  contact.fleet_size = reply.fleet_size;
  const std::uint64_t asked_version = this->record ? this->record->version : 0;
  if (reply.promised && this->record && reply.version == this->record->version) {
    this->rights.Add(member, this->record->epoch, sent_at, reply.store_silence);
    this->rights.Extend(*this->record);
  }
  if (reply.record) {
    this->Adopt(*reply.record, "reply of " + member, now, actions);
  }
  const auto found = std::find_if(this->record->members.begin(), this->record->members.end(),
                                  [&member](const Member& other) { return other.vm == member; });
  const bool changed = this->record->version != asked_version || reply.version < this->record->version;
  if (found != this->record->members.end() && (contact.resend || changed)) {
    this->BeatTo(*found, now, actions);
  }
}

void CoordinationSystem::OnNotice(const CoordinationRecord& told, TimePoint now, Actions& actions) {
  this->Adopt(told, "notice of " + (told.members.empty() ? VmName() : told.members.front().vm), now, actions);
}

void CoordinationSystem::OnBeatFailed(const VmName& member, bool refused, TimePoint now) {
  MemberContact& contact = this->contacts[member];
  contact.outstanding = false;
  contact.refused = refused;
  contact.next_beat = std::max(contact.next_beat, now + this->settings.beat / 4);
}

void CoordinationSystem::OnRecordRead(const std::optional<CoordinationRecord>& read, ObjectVersion read_revision,
                                      TimePoint now, Actions& actions) {
  this->read_outstanding = false;
  this->last_store_contact = now;
  if (!read) {
    if (!this->record && !this->pending) {
      CoordinationRecord first;
      first.epoch = 1;
      first.fencing_token = 1;
      first.duty_since = 1;
      first.members = {{this->self.vm, this->self.address}};
      this->Propose(first, now, actions);
    } else if (this->pending && !this->pending->answered) {
      this->pending->answered = true;
      actions.emplace_back(WriteRecord{this->pending->record, 0});
    }
    return;
  }
  this->confirmed = true;
  if (this->pending && read->update_id == this->pending->record.update_id) {
    this->FinishWrite(read_revision, now, actions);
    return;
  }
  if (!this->record || read->version >= this->record->version) {
    this->revision = read_revision;
  }
  this->Adopt(*read, "store", now, actions);
  if (!this->pending || this->pending->answered) {
    return;
  }
  const bool takeover = this->pending->record.Holder()->vm == this->self.vm && !this->IsHolder();
  if (this->pending->expected_revision == read_revision && (!takeover || !this->TakeoverReason(now).empty())) {
    this->pending->answered = true;
    actions.emplace_back(WriteRecord{this->pending->record, read_revision});
  } else {
    this->pending.reset();
  }
}

void CoordinationSystem::OnReadFailed(TimePoint now) {
  this->read_outstanding = false;
  const Duration pause = this->pending || !this->record ? this->settings.beat / 3 : this->settings.store_poll;
  this->next_read = now + pause;
}

void CoordinationSystem::OnRecordWritten(WriteResult result, ObjectVersion written_revision, TimePoint now,
                                         Actions& actions) {
  if (!this->pending) {
    return;
  }
  if (result == WriteResult::kWritten) {
    this->last_store_contact = now;
    this->FinishWrite(written_revision, now, actions);
    return;
  }
  // Whatever else happened, the store tells what stands there now.
  this->pending->answered = false;
  this->next_read = result == WriteResult::kConflict ? now : now + this->settings.beat / 6;
}

void CoordinationSystem::FinishWrite(ObjectVersion written_revision, TimePoint now, Actions& actions) {
  const CoordinationRecord written = std::move(this->pending->record);
  this->pending.reset();
  this->confirmed = true;
  this->revision = written_revision;
  std::map<VmName, std::string> told;
  for (const auto& [vm, entry] : this->ledger.Entries()) {
    if (entry.last_beat + this->settings.promise > now) {
      told[vm] = entry.address;
    }
  }
  // Former members may hear of their successors from nobody else.
  for (const Member& member : this->record ? this->record->members : std::vector<Member>{}) {
    told[member.vm] = member.address;
  }
  this->Adopt(written, "own update", now, actions);
  for (const auto& [vm, address] : told) {
    if (!written.IsMember(vm)) {
      actions.emplace_back(SendNotice{vm, address, written});
    }
  }
}

void CoordinationSystem::Adopt(const CoordinationRecord& newer, const std::string& source, TimePoint now,
                               Actions& actions) {
  if (this->record && newer.version <= this->record->version) {
    return;
  }
  const bool was_holder = this->IsHolder();
  const std::vector<Member> former = this->record ? this->record->members : std::vector<Member>{};
  if (source != "store" && source != "own update") {
    this->revision.reset();
  }
  this->NoteGroups(newer);
  this->record = newer;
  for (const Member& member : newer.members) {
    const bool known = std::any_of(former.begin(), former.end(), [&](const Member& m) { return m.vm == member.vm; });
    if (!known) {
      this->contacts[member.vm].last_reply = now;
    }
  }
  this->NoteRetirements(now);
  if (this->IsHolder() && !was_holder) {
    this->next_repair = now + this->settings.gathering;
  }
  actions.emplace_back(RecordAdopted{source});
  for (const Member& member : newer.members) {
    if (member.vm != this->self.vm) {
      this->BeatTo(member, now, actions);
    }
  }
}

// Notes what a newer record, not adopted yet, changes in the groups. A group counts as busy here until the next report.
void CoordinationSystem::NoteGroups(const CoordinationRecord& newer) {
  for (const auto& [name, group] : newer.groups) {
    const GroupState* before = nullptr;
    if (this->record && this->record->groups.count(name) > 0) {
      before = &this->record->groups.at(name);
    }
    if (before != nullptr && *before == group) {
      continue;
    }
    std::erase(this->report.busy, name);
    if (group.changing) {
      this->report.busy.push_back(name);
    }
  }
}

void CoordinationSystem::Report(const LocalReport& update, TimePoint now, Actions& actions) {
  const bool changed = update.busy != this->report.busy || update.suspects != this->report.suspects ||
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
      this->BeatTo(member, now, actions);
    }
  }
}

bool CoordinationSystem::ProposeGroups(const std::map<GroupName, GroupState>& groups, const std::string& why,
                                       TimePoint now, Actions& actions) {
  if (!this->IsHolder() || this->pending || !this->revision) {
    return false;
  }
  CoordinationRecord next = *this->record;
  for (const auto& [name, group] : groups) {
    next.groups[name] = group;
    next.groups[name].changed_at = next.version + 1;
  }
  actions.emplace_back(Decision{"propose groups", why});
  this->Propose(std::move(next), now, actions);
  return true;
}

void CoordinationSystem::Propose(CoordinationRecord next, TimePoint now, Actions& actions) {
  next.version = (this->record ? this->record->version : 0) + 1;
  std::erase_if(next.former, [&](const FormerMembers& former) { return this->Ended(former, now); });
  if (this->record && next.epoch != this->record->epoch) {
    FormerMembers replaced{this->record->epoch, next.version, {}};
    for (const Member& member : this->record->members) {
      replaced.vms.push_back(member.vm);
    }
    next.former.push_back(std::move(replaced));
  }
  next.update_id = this->self.vm + "/" + std::to_string(this->self.incarnation) + "/" + std::to_string(++this->updates);
  const ObjectVersion expected = this->revision.value_or(0);
  this->pending = PendingWrite{next, expected, now, true};
  actions.emplace_back(WriteRecord{std::move(next), expected});
}

void CoordinationSystem::WantRelief(bool wanted) { this->relief_wanted = wanted; }

const CoordinationRecord* CoordinationSystem::Record() const { return this->record ? &*this->record : nullptr; }

bool CoordinationSystem::IsHolder() const {
  return this->record && !this->record->members.empty() && this->record->members.front().vm == this->self.vm;
}

bool CoordinationSystem::MayUsePrimary(const GroupName& group, TimePoint now) const {
  if (!this->record || now >= this->rights.Until()) {
    return false;
  }
  const auto found = this->record->groups.find(group);
  return found != this->record->groups.end() && !found->second.changing;
}

TimePoint CoordinationSystem::RightsUntil() const { return this->rights.Until(); }

bool CoordinationSystem::MayPromote(TimePoint now) const { return this->IsHolder() && now < this->rights.Until(); }

bool CoordinationSystem::CanRelease(TimePoint now) const {
  const std::vector<std::vector<VmName>> sets = this->PromisingSets(now);
  return std::all_of(sets.begin(), sets.end(), [&](const std::vector<VmName>& members) {
    const auto heard = std::count_if(members.begin(), members.end(), [&](const VmName& member) {
      const auto entry = this->ledger.Entries().find(member);
      return member == this->self.vm || (entry != this->ledger.Entries().end() &&
                                         entry->second.last_beat + this->settings.beat * kFleetBeats >= now);
    });
    return static_cast<std::size_t>(heard) >= RefusalsNeeded(members.size());
  });
}

bool CoordinationSystem::Released(const GroupName& group, TimePoint now) const {
  return this->Holdouts(group, now).empty();
}

std::vector<VmName> CoordinationSystem::Holdouts(const GroupName& group, TimePoint now) const {
  std::vector<VmName> holdouts;
  if (!this->Declared(this->self.vm, group)) {
    holdouts = this->ledger.Holdouts(group, this->record->ReleaseVersion(group), this->self.vm, now);
    holdouts.push_back(this->self.vm);
  }
  for (const std::vector<VmName>& members : this->PromisingSets(now)) {
    std::vector<VmName> missing;
    std::copy_if(members.begin(), members.end(), std::back_inserter(missing),
                 [&](const VmName& member) { return !this->Declared(member, group); });
    if (members.size() - missing.size() < RefusalsNeeded(members.size())) {
      holdouts.insert(holdouts.end(), missing.begin(), missing.end());
    }
  }
  return holdouts;
}

std::map<EndpointName, std::size_t> CoordinationSystem::Suspicions(TimePoint now) const {
  std::map<EndpointName, std::size_t> suspicions;
  for (const EndpointName& endpoint : this->report.suspects) {
    ++suspicions[endpoint];
  }
  for (const auto& [vm, entry] : this->ledger.Entries()) {
    if (!entry.suspects.empty() && this->HeardLately(vm, entry, now)) {
      for (const EndpointName& endpoint : entry.suspects) {
        ++suspicions[endpoint];
      }
    }
  }
  return suspicions;
}

std::size_t CoordinationSystem::Reaching(const GroupName& group, TimePoint now) const {
  const std::vector<GroupName>& own = this->report.reaches;
  std::size_t reaching = std::find(own.begin(), own.end(), group) != own.end() ? 1 : 0;
  for (const auto& [vm, entry] : this->ledger.Entries()) {
    reaching += this->HeardLately(vm, entry, now) && entry.reaches.count(group) > 0 ? 1 : 0;
  }
  return reaching;
}

bool CoordinationSystem::Suspects(const EndpointName& endpoint) const {
  const std::vector<EndpointName>& own = this->report.suspects;
  return std::find(own.begin(), own.end(), endpoint) != own.end();
}

bool CoordinationSystem::HeardLately(const VmName& vm, const LedgerEntry& entry, TimePoint now) const {
  return vm != this->self.vm && entry.last_beat + this->settings.beat * kFleetBeats >= now;
}

bool CoordinationSystem::WritePending() const { return this->pending.has_value(); }

bool CoordinationSystem::WriteStuck(TimePoint now) const {
  return this->pending && now > this->pending->since + this->settings.answer_limit * 2;
}

std::size_t CoordinationSystem::FleetSize() const {
  std::size_t size = 1;
  if (this->record && this->record->IsMember(this->self.vm)) {
    TimePoint newest;
    for (const auto& [vm, entry] : this->ledger.Entries()) {
      newest = std::max(newest, entry.last_beat);
    }
    for (const auto& [vm, entry] : this->ledger.Entries()) {
      size += vm != this->self.vm && entry.last_beat + this->settings.beat * kFleetBeats >= newest ? 1 : 0;
    }
  }
  for (const auto& [vm, contact] : this->contacts) {
    size = std::max<std::size_t>(size, contact.fleet_size);
  }
  return size;
}

const PromiseLedger& CoordinationSystem::Ledger() const { return this->ledger; }

bool CoordinationSystem::Silent(const VmName& member, Duration limit, TimePoint now) const {
  const auto found = this->contacts.find(member);
  return found == this->contacts.end() || now >= found->second.last_reply + limit;
}

}  // namespace amaranthlane::coordination
