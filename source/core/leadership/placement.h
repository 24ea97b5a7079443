#ifndef AMARANTHLANE_CORE_LEADERSHIP_PLACEMENT_H_
#define AMARANTHLANE_CORE_LEADERSHIP_PLACEMENT_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/leadership/events.h"
#include "core/leadership/record.h"
#include "core/leadership/settings.h"
#include "core/types.h"

// Chooses leaders, successors and witnesses by rendezvous hashing, so that VMs with the same view make the same choice
// without communication.
namespace amaranthlane::leadership {

// Sorts `vms` by their rendezvous hash with `key`, the most preferred first.
std::vector<VmView> RendezvousOrder(std::string_view key, std::vector<VmView> vms);

// The VMs of `region` that aren't leaving; those of all regions if it has none.
std::vector<VmView> EligibleVms(const std::map<VmName, VmView>& vms, const std::string& region);

// The preferred leader of each group: the first in its rendezvous order that leads less than an even share of its
// region's groups.
std::map<GroupName, VmName> PreferredLeaders(const std::vector<GroupView>& groups, const std::map<VmName, VmView>& vms);

// The successors of `leader`, most preferred first. The first is in another data centre than the leader if there is
// one.
std::vector<VmName> ChooseSuccessors(const GroupName& group, const VmName& leader, const std::vector<VmView>& eligible,
                                     const LeadershipSettings& settings);

// The witnesses for all groups of `leader`, sorted by name. In a region of up to `all_witness_limit` VMs: all that are
// live, and those of `current` that are still eligible. In a larger one: `witness_count` VMs other than the leader,
// live ones if there are enough, spread over the data centres.
std::vector<VmName> ChooseWitnesses(const VmName& leader, const std::vector<VmView>& eligible,
                                    const std::vector<VmName>& current, const LeadershipSettings& settings);

}  // namespace amaranthlane::leadership

#endif  // AMARANTHLANE_CORE_LEADERSHIP_PLACEMENT_H_
