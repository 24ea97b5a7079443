#ifndef AMARANTHLANE_CORE_GATEWAYS_GATEWAY_CHOICE_H_
#define AMARANTHLANE_CORE_GATEWAYS_GATEWAY_CHOICE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "core/types.h"

// Which VMs hold connections to a group's endpoints. Where the endpoints take too few connections for every VM, some
// VMs carry the sessions of the others.
namespace amaranthlane::gateways {

// Up to so many groups, each VM may hold connections to all.
inline constexpr std::size_t kMaxGroupsServedByEveryVm = 16;

// A VM that is alive and stays.
struct FleetVm {
  VmName vm;
  // Where it takes sessions that other VMs pass on, as ip:port.
  std::string relay_address;
  std::string data_centre;

  bool operator==(const FleetVm&) const = default;
};

// The same text for equal fleets.
std::string FleetDigest(const std::vector<FleetVm>& fleet);

// What a group's connections are divided among.
struct FleetCounts {
  // VMs that are alive, and the data centres that they stand in.
  std::size_t vms = 1;
  std::size_t data_centres = 1;
  // Database groups that they serve.
  std::size_t groups = 1;
};

// What the connections of an endpoint allow.
struct GatewayPlan {
  // 0: every VM holds connections of its own.
  std::size_t gateways = 0;
  // Connections that each VM or carrier may hold.
  std::size_t connections_per_vm = 1;
};

// Divides `connections`, which an endpoint takes from all VMs together, among the fleet. Each data centre gets a
// carrier if the connections suffice for that. With many groups a VM carries only some, so that what it holds for
// endpoints doesn't grow with the fleet.
GatewayPlan PlanGateways(std::size_t connections, const FleetCounts& fleet);

// Chooses at most `count` carriers of the group, spread over the data centres by their share of the VMs, one in each if
// `count` suffices. VMs that know the same fleet choose the same.
std::vector<FleetVm> ChooseGateways(const GroupName& group, const std::vector<FleetVm>& fleet, std::size_t count);

}  // namespace amaranthlane::gateways

#endif  // AMARANTHLANE_CORE_GATEWAYS_GATEWAY_CHOICE_H_
