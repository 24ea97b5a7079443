#include <algorithm>
#include <string>

#include "core/coordination/coordination_system.h"
#include "core/rendezvous.h"

// Who holds the duty to promote: replacing silent members, and taking the duty over.
namespace amaranthlane::coordination {

namespace {

bool Contains(const std::vector<Member>& members, const VmName& vm) {
  return std::any_of(members.begin(), members.end(), [&vm](const Member& member) { return member.vm == vm; });
}

}  // namespace

std::vector<Member> CoordinationSystem::ChooseMembers(TimePoint now, const std::vector<Member>& preferred,
                                                      bool keep_holder) const {
  std::vector<Member> chosen = {{this->self.vm, this->self.address}};
  std::vector<std::string> data_centres = {this->self.data_centre};
  const auto usable = [&](const VmName& vm) {
    const auto found = this->ledger.Entries().find(vm);
    return found != this->ledger.Entries().end() && !found->second.leaving && !Contains(chosen, vm) &&
           found->second.last_beat + this->settings.detection > now;
  };
  const auto add = [&](const VmName& vm) {
    const LedgerEntry& entry = this->ledger.Entries().at(vm);
    chosen.push_back({vm, entry.address});
    data_centres.push_back(entry.data_centre);
  };
  for (const Member& member : preferred) {
    const bool former_holder = !keep_holder && !preferred.empty() && member.vm == preferred.front().vm;
    if (chosen.size() <= this->settings.witnesses && !former_holder && usable(member.vm)) {
      add(member.vm);
    }
  }
  // First one of another data centre each, then any.
  for (const bool spread : {true, false}) {
    for (const auto& [vm, entry] : this->ledger.Entries()) {
      const bool same = std::find(data_centres.begin(), data_centres.end(), entry.data_centre) != data_centres.end();
      if (chosen.size() <= this->settings.witnesses && usable(vm) && !(spread && same)) {
        add(vm);
      }
    }
  }
  return chosen;
}

void CoordinationSystem::RepairMembers(TimePoint now, Actions& actions) {
  if (!this->IsHolder() || this->pending || !this->revision || now < this->next_repair || this->report.leaving) {
    return;
  }
  std::string reason;
  for (const Member& member : this->record->members) {
    if (member.vm == this->self.vm) {
      continue;
    }
    const auto found = this->ledger.Entries().find(member.vm);
    const bool known = found != this->ledger.Entries().end();
    const TimePoint heard = known ? std::max(found->second.last_beat, this->contacts[member.vm].last_reply)
                                  : this->contacts[member.vm].last_reply;
    if (heard + this->settings.detection <= now) {
      reason = member.vm + " is silent";
    } else if (known && found->second.leaving) {
      reason = member.vm + " leaves";
    }
  }
  const std::vector<Member> chosen = this->ChooseMembers(now, this->record->members, true);
  if (reason.empty() && chosen.size() > this->record->members.size()) {
    reason = "a member is missing";
  }
  if (reason.empty() || chosen == this->record->members) {
    return;
  }
  this->next_repair = now + this->settings.repair_interval;
  CoordinationRecord next = *this->record;
  next.members = chosen;
  next.epoch += 1;
  actions.emplace_back(Decision{"replace members", reason});
  this->Propose(std::move(next), now, actions);
}

std::string CoordinationSystem::TakeoverReason(TimePoint now) const {
  if (!this->record || this->record->members.empty() || this->IsHolder() || this->report.leaving) {
    return {};
  }
  const std::vector<Member>& members = this->record->members;
  const VmName& holder = members.front().vm;
  for (std::size_t index = 1; index < members.size(); ++index) {
    if (members[index].vm != this->self.vm) {
      continue;
    }
    const Duration patience = this->settings.detection + this->settings.succession_step * (index - 1);
    if (this->Silent(holder, patience, now)) {
      return holder + " is silent";
    }
    const auto entry = this->ledger.Entries().find(holder);
    if (entry != this->ledger.Entries().end() && entry->second.leaving && index == 1) {
      return holder + " leaves";
    }
    const auto contact = this->contacts.find(holder);
    const bool store_answers = now - this->last_store_contact < this->settings.store_poll * 2;
    if (contact != this->contacts.end() && contact->second.wants_relief && store_answers && index == 1) {
      return holder + " asks for relief";
    }
    return {};
  }
  const auto share = static_cast<double>(RendezvousHash(holder, this->self.vm) % 1000) / 1000.0;
  const Duration patience =
      this->settings.orphaned + std::chrono::duration_cast<Duration>(this->settings.orphaned_spread * share);
  for (const Member& member : members) {
    if (this->Silent(member.vm, patience, now) && now - this->last_store_contact < this->settings.store_poll * 2) {
      return member.vm + " is silent and nobody replaces it";
    }
  }
  return {};
}

void CoordinationSystem::ConsiderTakeover(TimePoint now, Actions& actions) {
  if (this->pending || !this->revision) {
    // The revision comes with the next read.
    return;
  }
  const std::string reason = this->TakeoverReason(now);
  if (reason.empty()) {
    return;
  }
  CoordinationRecord next = *this->record;
  next.members = this->ChooseMembers(now, this->record->members, false);
  next.epoch += 1;
  next.fencing_token += 1;
  actions.emplace_back(Decision{"take the duty over", reason});
  this->Propose(std::move(next), now, actions);
}

}  // namespace amaranthlane::coordination
