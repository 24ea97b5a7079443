#include <algorithm>

#include "core/coordination/coordination_system.h"
#include "core/coordination/quorum.h"

// What a member declares about the grants that it gave, and what the coordinator learns from such declarations.
namespace amaranthlane::coordination {

void CoordinationSystem::DeclareReleases(TimePoint now, Actions& actions) {
  std::erase_if(this->released_groups, [this](const auto& declared) {
    const auto group = this->record->groups.find(declared.first);
    return group == this->record->groups.end() || !group->second.changing ||
           this->record->ReleaseVersion(declared.first) != declared.second;
  });
  // For one grant duration after the start, grants that an earlier process of this VM gave may still be valid.
  if (this->started_at == kNever || now < this->started_at + this->settings.grant_duration) {
    return;
  }
  bool declared_any = false;
  for (const auto& [name, group] : this->record->groups) {
    const std::uint64_t version = this->record->ReleaseVersion(name);
    const std::vector<GroupName>& groups_in_use = this->report.groups_in_use;
    const bool own_use = std::find(groups_in_use.begin(), groups_in_use.end(), name) != groups_in_use.end();
    if (group.changing && !own_use && this->released_groups.count(name) == 0 &&
        this->grant_table.Released(name, version, this->self.vm, now)) {
      this->released_groups[name] = version;
      declared_any = true;
    }
  }
  if (declared_any && !this->IsCoordinator() && this->record->Coordinator() != nullptr) {
    this->SendHeartbeatTo(*this->record->Coordinator(), now, actions);
  }
}

bool CoordinationSystem::UsesReleasedGroup(const HeartbeatRequest& heartbeat) const {
  return std::any_of(heartbeat.groups_in_use.begin(), heartbeat.groups_in_use.end(), [this](const GroupName& group) {
    const auto declared = this->released_groups.find(group);
    return declared != this->released_groups.end() && declared->second == this->record->ReleaseVersion(group);
  });
}

bool CoordinationSystem::HasDeclaredRelease(const VmName& member, const GroupName& group) const {
  const std::map<GroupName, std::uint64_t>* declared = &this->released_groups;
  if (member != this->self.vm) {
    const auto entry = this->grant_table.Entries().find(member);
    if (entry == this->grant_table.Entries().end()) {
      return false;
    }
    declared = &entry->second.released_groups;
  }
  const auto found = declared->find(group);
  return found != declared->end() && found->second == this->record->ReleaseVersion(group);
}

void CoordinationSystem::UpdateRetirements(TimePoint now) {
  std::map<std::uint64_t, Retirement> kept;
  for (const FormerMembers& former : this->record->former) {
    const auto known = this->retirements.find(former.epoch);
    Retirement retirement = known == this->retirements.end() ? Retirement{now} : known->second;
    const auto adopted = std::count_if(former.vms.begin(), former.vms.end(), [&](const VmName& vm) {
      const auto entry = this->grant_table.Entries().find(vm);
      return vm == this->self.vm ||
             (entry != this->grant_table.Entries().end() && entry->second.version >= former.replaced_at);
    });
    if (retirement.quorum_adopted_since == kNever &&
        static_cast<std::size_t>(adopted) >= BlockingQuorum(former.vms.size())) {
      retirement.quorum_adopted_since = now;
    }
    kept.emplace(former.epoch, retirement);
  }
  this->retirements = std::move(kept);
}

std::vector<std::vector<VmName>> CoordinationSystem::GrantingSets(TimePoint now) const {
  std::vector<std::vector<VmName>> sets(1);
  for (const Member& member : this->record->members) {
    sets.front().push_back(member.vm);
  }
  for (const FormerMembers& former : this->record->former) {
    if (!this->GrantsExpired(former, now)) {
      sets.push_back(former.vms);
    }
  }
  return sets;
}

// A VM that may allocate holds a lease, and belongs to every set of members whose leases may still be valid. The oldest
// such set therefore contains all VMs that may allocate now, and each has no more than an equal share of it.
std::optional<std::size_t> CoordinationSystem::AllocationShareCount(TimePoint now) const {
  if (!this->record || now >= this->primary_lease.Expiry()) {
    return std::nullopt;
  }
  std::size_t share_count = 0;
  for (const std::vector<VmName>& members : this->GrantingSets(now)) {
    if (std::find(members.begin(), members.end(), this->self.vm) == members.end()) {
      return std::nullopt;
    }
    share_count = std::max(share_count, members.size());
  }
  return share_count;
}

bool CoordinationSystem::GrantsExpired(const FormerMembers& former, TimePoint now) const {
  const auto found = this->retirements.find(former.epoch);
  if (found == this->retirements.end()) {
    return false;
  }
  const Retirement& retirement = found->second;
  const bool grants_expired = retirement.quorum_adopted_since != kNever &&
                              now >= retirement.quorum_adopted_since + this->settings.grant_duration;
  // Members that still haven't adopted the record can't reach the store. Their grants extend no lease once they have
  // been without the store for `store_contact_timeout`.
  return grants_expired ||
         now >= retirement.first_seen + this->settings.store_contact_timeout + this->settings.grant_duration;
}

}  // namespace amaranthlane::coordination
