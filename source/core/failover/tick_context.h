#ifndef AMARANTHLANE_CORE_FAILOVER_TICK_CONTEXT_H_
#define AMARANTHLANE_CORE_FAILOVER_TICK_CONTEXT_H_

#include <map>
#include <string>
#include <vector>

#include "core/failover/primary_change_system.h"

// Internal to PrimaryChangeSystem.
namespace amaranthlane::failover {

// The inputs and results of one Tick.
struct PrimaryChangeSystem::TickContext {
  const EndpointDirectory& directory;
  const std::map<GroupName, std::uint64_t>& synchronous_replicas;
  coordination::CoordinationSystem& coordination;
  TimePoint now;
  coordination::Actions& coordination_actions;
  Actions& actions;
  // Filled on the coordinator only.
  std::map<GroupName, std::vector<const EndpointEntry*>> endpoints_by_group = {};
  std::map<EndpointName, std::size_t> unreachable_counts = {};
  // The states to record; all of them go into one update.
  std::map<GroupName, coordination::GroupState> proposed = {};
  std::string reasons = {};
  std::size_t discoveries = 0;

  std::vector<const EndpointEntry*> Endpoints(const GroupName& group) const {
    const auto found = this->endpoints_by_group.find(group);
    return found == this->endpoints_by_group.end() ? std::vector<const EndpointEntry*>{} : found->second;
  }
  // The number of replicas that a commit in the group waits for.
  std::uint64_t SynchronousReplicas(const GroupName& group) const;
  std::size_t UnreachableCount(const EndpointName& endpoint) const {
    const auto found = this->unreachable_counts.find(endpoint);
    return found == this->unreachable_counts.end() ? 0 : found->second;
  }
  // The share of the VMs with connections to the group that can't reach its primary.
  double UnreachableShare(const GroupName& group, const EndpointName& primary) const {
    const std::size_t unreachable = this->UnreachableCount(primary);
    if (unreachable == 0) {
      return 0;
    }
    const std::size_t total = unreachable + this->coordination.ReachableCount(group, this->now);
    return static_cast<double>(unreachable) / static_cast<double>(total);
  }
  void Propose(const GroupName& group, const coordination::GroupState& state, const std::string& reason) {
    this->proposed[group] = state;
    this->reasons += (this->reasons.empty() ? "" : "; ") + reason;
  }
  void Log(const GroupName& group, const std::string& step, const std::string& reason) const {
    this->actions.emplace_back(ChangeStep{group, step, reason});
  }
};

}  // namespace amaranthlane::failover

#endif  // AMARANTHLANE_CORE_FAILOVER_TICK_CONTEXT_H_
