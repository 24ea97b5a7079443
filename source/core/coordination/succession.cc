#include <algorithm>
#include <string>

#include "core/coordination/coordination_system.h"
#include "core/coordination/quorum.h"
#include "core/rendezvous.h"

// Replaces silent members, and takes over as coordinator when the current one fails.
namespace amaranthlane::coordination {

namespace {

// With this number of members or fewer, a VM can't tell from the members that it hears whether it is isolated itself.
constexpr std::size_t kSmallMemberSet = 2;

bool Contains(const std::vector<Member>& members, const VmName& vm) {
  return std::any_of(members.begin(), members.end(), [&vm](const Member& member) { return member.vm == vm; });
}

}  // namespace

std::vector<Member> CoordinationSystem::ChooseMembers(TimePoint now, const std::vector<Member>& preferred,
                                                      bool keep_coordinator) const {
  std::vector<Member> chosen = {{this->self.vm, this->self.address}};
  std::vector<std::string> data_centres = {this->self.data_centre};
  const auto usable = [&](const VmName& vm) {
    const auto found = this->grant_table.Entries().find(vm);
    return found != this->grant_table.Entries().end() && !found->second.leaving && !Contains(chosen, vm) &&
           found->second.last_heartbeat + this->settings.failure_timeout > now;
  };
  const auto add = [&](const VmName& vm) {
    const GrantEntry& entry = this->grant_table.Entries().at(vm);
    chosen.push_back({vm, entry.address});
    data_centres.push_back(entry.data_centre);
  };
  for (const Member& member : preferred) {
    const bool former_coordinator = !keep_coordinator && !preferred.empty() && member.vm == preferred.front().vm;
    if (chosen.size() <= this->settings.max_other_members && !former_coordinator && usable(member.vm)) {
      add(member.vm);
    }
  }
  // First one VM of each further data centre, then any.
  for (const bool new_data_centre_only : {true, false}) {
    for (const auto& [vm, entry] : this->grant_table.Entries()) {
      const bool same_data_centre =
          std::find(data_centres.begin(), data_centres.end(), entry.data_centre) != data_centres.end();
      if (chosen.size() <= this->settings.max_other_members && usable(vm) &&
          !(new_data_centre_only && same_data_centre)) {
        add(vm);
      }
    }
  }
  return chosen;
}

void CoordinationSystem::ReplaceMembers(TimePoint now, Actions& actions) {
  if (!this->IsCoordinator() || this->pending_write || !this->revision || now < this->next_replacement ||
      this->report.leaving) {
    return;
  }
  const Duration timeout = this->HearsMajority(now) ? this->settings.failure_timeout : this->settings.isolation_timeout;
  std::string reason;
  for (const Member& member : this->record->members) {
    if (member.vm == this->self.vm) {
      continue;
    }
    const auto found = this->grant_table.Entries().find(member.vm);
    const bool known = found != this->grant_table.Entries().end();
    const TimePoint heard = known ? std::max(found->second.last_heartbeat, this->contacts[member.vm].last_reply)
                                  : this->contacts[member.vm].last_reply;
    if (heard + timeout <= now) {
      reason = member.vm + " does not answer";
    } else if (known && found->second.leaving) {
      reason = member.vm + " is shutting down";
    }
  }
  const std::vector<Member> chosen = this->ChooseMembers(now, this->record->members, true);
  if (reason.empty() && chosen.size() > this->record->members.size()) {
    reason = "fewer members than intended";
  }
  if (reason.empty() || chosen == this->record->members) {
    return;
  }
  this->next_replacement = now + this->settings.member_replacement_interval;
  CoordinationRecord next = *this->record;
  next.members = chosen;
  next.epoch += 1;
  actions.emplace_back(Decision{"replacing members", reason});
  this->Propose(std::move(next), now, actions);
}

std::string CoordinationSystem::TakeoverReason(TimePoint now) const {
  if (!this->record || this->record->members.empty() || this->IsCoordinator() || this->report.leaving) {
    return {};
  }
  const std::string reason = this->SuccessionReason(now);
  return reason.empty() ? this->QuorumLossReason(now) : reason;
}

std::string CoordinationSystem::SuccessionReason(TimePoint now) const {
  const std::vector<Member>& members = this->record->members;
  const std::size_t index = this->record->MemberIndex(this->self.vm);
  if (index >= members.size()) {
    return {};
  }
  const VmName& coordinator = members.front().vm;
  const Duration stagger = this->settings.takeover_stagger * (index - 1);
  const Duration timeout = this->HearsMajority(now) ? this->settings.failure_timeout : this->settings.isolation_timeout;
  if (this->IsSilent(coordinator, timeout + stagger, now)) {
    return coordinator + " does not answer";
  }
  const auto entry = this->grant_table.Entries().find(coordinator);
  if (entry != this->grant_table.Entries().end() && entry->second.leaving && stagger == Duration::zero()) {
    return coordinator + " is shutting down";
  }
  const auto contact = this->contacts.find(coordinator);
  const bool requested = contact != this->contacts.end() && contact->second.handover_requested_since != kNever;
  if (requested && now >= contact->second.handover_requested_since + stagger && this->StoreReachable(now)) {
    return coordinator + " asks for a handover";
  }
  return {};
}

std::string CoordinationSystem::QuorumLossReason(TimePoint now) const {
  if (!this->StoreReachable(now)) {
    return {};
  }
  const std::vector<Member>& members = this->record->members;
  const Duration timeout = this->QuorumLossTimeout(now);
  std::size_t silent = 0;
  std::string names;
  for (const Member& member : members) {
    if (member.vm != this->self.vm && this->IsSilent(member.vm, timeout, now)) {
      ++silent;
      names += member.vm + " ";
    }
  }
  return silent < BlockingQuorum(members.size()) ? "" : names + "do not answer and have not been replaced";
}

Duration CoordinationSystem::QuorumLossTimeout(TimePoint now) const {
  const std::vector<Member>& members = this->record->members;
  const auto share = static_cast<double>(RendezvousHash(members.front().vm, this->self.vm) % 1000) / 1000.0;
  const auto jitter = std::chrono::duration_cast<Duration>(this->settings.quorum_loss_jitter * share);
  if (members.size() > kSmallMemberSet) {
    return (this->HearsMajority(now) ? this->settings.quorum_loss_timeout : this->settings.isolation_timeout) + jitter;
  }
  // An isolated VM may have taken over alone. The members that it replaced take over again before leases expire.
  for (const FormerMembers& former : this->record->former) {
    const auto own = std::find(former.vms.begin(), former.vms.end(), this->self.vm);
    if (own != former.vms.end() && former.vms.size() > kSmallMemberSet) {
      return this->settings.failure_timeout + this->settings.takeover_stagger * (own - former.vms.begin());
    }
  }
  return this->settings.quorum_loss_timeout + jitter;
}

bool CoordinationSystem::HearsMajority(TimePoint now) const {
  std::size_t expected = 0;
  std::size_t heard = 0;
  for (const Member& member : this->record->members) {
    const auto contact = this->contacts.find(member.vm);
    const bool own = member.vm == this->self.vm;
    const bool dead = !own && contact != this->contacts.end() && contact->second.connection_refused;
    expected += dead ? 0 : 1;
    heard += !dead && (own || !this->IsSilent(member.vm, this->settings.failure_timeout, now)) ? 1 : 0;
  }
  return expected <= kSmallMemberSet || heard * 2 > expected;
}

bool CoordinationSystem::StoreReachable(TimePoint now) const {
  return now - this->last_store_contact < this->settings.store_poll_interval * 2;
}

void CoordinationSystem::ConsiderTakeover(TimePoint now, Actions& actions) {
  if (this->pending_write || !this->revision) {
    // The next read returns the revision.
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
  next.coordinator_since = next.version + 1;
  actions.emplace_back(Decision{"taking over as coordinator", reason});
  this->Propose(std::move(next), now, actions);
}

}  // namespace amaranthlane::coordination
