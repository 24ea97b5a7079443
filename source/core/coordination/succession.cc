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
// A VM takes the place of a member if it has this many times the member's share of processors. A smaller difference
// isn't worth a change of members.
constexpr std::uint64_t kOutsizedFactor = 2;

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
  if (chosen.size() > this->settings.max_other_members) {
    return chosen;
  }
  std::vector<std::pair<Millicores, const VmName*>> candidates;
  for (const auto& [vm, entry] : this->grant_table.Entries()) {
    candidates.emplace_back(entry.processor_share, &vm);
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const auto& left, const auto& right) { return left.first.count > right.first.count; });
  // First the largest VM of each further data centre, then the largest of all.
  for (const bool new_data_centre_only : {true, false}) {
    for (const auto& [share, vm] : candidates) {
      const std::string& data_centre = this->grant_table.Entries().at(*vm).data_centre;
      const bool same_data_centre =
          std::find(data_centres.begin(), data_centres.end(), data_centre) != data_centres.end();
      if (chosen.size() <= this->settings.max_other_members && usable(*vm) &&
          !(new_data_centre_only && same_data_centre)) {
        add(*vm);
      }
    }
  }
  return chosen;
}

bool CoordinationSystem::Outsizes(const VmName& vm, const Millicores& share, TimePoint now) const {
  const auto found = this->grant_table.Entries().find(vm);
  return found != this->grant_table.Entries().end() && !found->second.leaving && share.count > 0 &&
         found->second.last_heartbeat + this->settings.failure_timeout > now &&
         found->second.processor_share.count >= share.count * kOutsizedFactor;
}

std::vector<Member> CoordinationSystem::WithoutOutsizedMembers(const std::vector<Member>& members,
                                                               TimePoint now) const {
  const std::map<VmName, GrantEntry>& entries = this->grant_table.Entries();
  std::vector<Member> kept;
  for (const Member& member : members) {
    const auto known = entries.find(member.vm);
    const bool outsized = member.vm != this->self.vm && known != entries.end() &&
                          std::any_of(entries.begin(), entries.end(), [&](const auto& other) {
                            return other.second.data_centre == known->second.data_centre &&
                                   !this->record->IsMember(other.first) &&
                                   this->Outsizes(other.first, known->second.processor_share, now);
                          });
    if (!outsized) {
      kept.push_back(member);
    }
  }
  return kept;
}

bool CoordinationSystem::HasLargerSuccessor(TimePoint now) const {
  if (!this->IsCoordinator() || this->record->members.size() <= 1 || now < this->next_replacement) {
    return false;
  }
  const VmName& successor = this->record->members[1].vm;
  const auto contact = this->contacts.find(successor);
  const bool has_store = contact != this->contacts.end() &&
                         now - contact->second.last_store_contact < this->settings.store_poll_interval * 2;
  const bool changing = std::any_of(this->record->groups.begin(), this->record->groups.end(),
                                    [](const auto& group) { return group.second.changing; });
  return has_store && !changing && this->Outsizes(successor, this->self.processor_share, now);
}

void CoordinationSystem::ReplaceMembers(TimePoint now, Actions& actions) {
  if (!this->IsCoordinator() || this->pending_write || !this->revision || now < this->next_replacement ||
      this->report.leaving) {
    return;
  }
  std::string reason = this->ReasonToReplaceMember(now);
  std::vector<Member> preferred = this->record->members;
  if (reason.empty() && now >= this->next_size_check && this->HearsMajority(now)) {
    this->next_size_check = now + this->settings.size_check_interval;
    preferred = this->WithoutOutsizedMembers(preferred, now);
    reason = preferred.size() < this->record->members.size() ? "larger VMs can take the place of members" : "";
  }
  const bool too_few = this->record->members.size() <= this->settings.max_other_members;
  if (reason.empty() && !too_few) {
    return;
  }
  const std::vector<Member> chosen = this->ChooseMembers(now, preferred, true);
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

std::string CoordinationSystem::ReasonToReplaceMember(TimePoint now) const {
  const Duration timeout = this->HearsMajority(now) ? this->settings.failure_timeout : this->settings.isolation_timeout;
  std::string reason;
  for (const Member& member : this->record->members) {
    if (member.vm == this->self.vm) {
      continue;
    }
    const auto found = this->grant_table.Entries().find(member.vm);
    const bool known = found != this->grant_table.Entries().end();
    const auto contact = this->contacts.find(member.vm);
    const TimePoint replied = contact == this->contacts.end() ? TimePoint() : contact->second.last_reply;
    const TimePoint heard = known ? std::max(found->second.last_heartbeat, replied) : replied;
    if (heard + timeout <= now) {
      reason = member.vm + " does not answer";
    } else if (known && found->second.leaving) {
      reason = member.vm + " is shutting down";
    }
  }
  return reason;
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
  const std::string missing_era = this->MissingEraReason(timeout + stagger, now);
  if (!missing_era.empty()) {
    return missing_era;
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
  return silent < BlockingQuorum(members.size())
             ? this->MissingEraReason(this->settings.isolation_timeout + timeout, now)
             : names + "do not answer and have not been replaced";
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
  return now - this->last_store_answer < this->settings.store_poll_interval * 2;
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
