#ifndef AMARANTHLANE_CORE_CARRIERS_CARRIER_CHOICE_H_
#define AMARANTHLANE_CORE_CARRIERS_CARRIER_CHOICE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "core/types.h"

// Which VMs hold connections to a group's endpoints. Where the endpoints take too few connections for every VM, some
// VMs carry the sessions of the others.
namespace amaranthlane::carriers {

// Up to so many groups, each VM may hold connections to all.
inline constexpr std::size_t kGroupsServedEverywhere = 16;

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
struct FleetShape {
  // VMs that are alive, and the data centres that they stand in.
  std::size_t vms = 1;
  std::size_t data_centres = 1;
  // Database groups that they serve.
  std::size_t groups = 1;
};

// What the connections of an endpoint allow.
struct CarrierPlan {
  // 0: every VM holds connections of its own.
  std::size_t carriers = 0;
  // Connections that each VM or carrier may hold.
  std::size_t connections = 1;
};

// Divides `connections`, which an endpoint takes from all VMs together, among the fleet. Each data centre gets a
// carrier if the connections suffice for that. With many groups a VM carries only some, so that what it holds for
// endpoints doesn't grow with the fleet.
CarrierPlan PlanCarriers(std::size_t connections, const FleetShape& fleet);

// Chooses at most `count` carriers of the group, spread over the data centres by their share of the VMs, one in each if
// `count` suffices. VMs that know the same fleet choose the same.
std::vector<FleetVm> ChooseCarriers(const GroupName& group, const std::vector<FleetVm>& fleet, std::size_t count);

}  // namespace amaranthlane::carriers

#endif  // AMARANTHLANE_CORE_CARRIERS_CARRIER_CHOICE_H_
