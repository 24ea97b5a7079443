#ifndef AMARANTHLANE_CORE_GATEWAYS_GATEWAY_CHOICE_H_
#define AMARANTHLANE_CORE_GATEWAYS_GATEWAY_CHOICE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "common/millicores.h"
#include "core/access/organisation_name.h"
#include "core/types.h"

// Which VMs hold connections to a group's endpoints. Where the endpoints accept too few connections for every VM to
// have its own, only some VMs, the group's gateways, hold connections; they serve the sessions that the other VMs relay
// to them.
namespace amaranthlane::gateways {

// With at most this many groups, every VM may hold connections to the endpoints of all of them.
inline constexpr std::size_t kMaxGroupsServedByEveryVm = 16;

// A VM that is alive and not leaving the fleet.
struct FleetVm {
  VmName vm;
  // The address, as ip:port, at which it accepts sessions that other VMs relay.
  std::string relay_address;
  std::string data_centre;
  // It understands notices of newer configurations between the messages of a relayed session.
  bool accepts_notices = false;
  Millicores processor_share = {};

  bool operator==(const FleetVm&) const = default;
};

// A hash of the VMs' names, relay addresses and shares of processors.
std::string FleetDigest(const std::vector<FleetVm>& fleet);

// The counts that determine how connections are divided.
struct FleetCounts {
  // VMs that are alive, and data centres that have such VMs.
  std::size_t vms = 1;
  std::size_t data_centres = 1;
  // Database groups that the VMs serve.
  std::size_t groups = 1;
};

// How the connections of an endpoint are divided among the VMs.
struct GatewayPlan {
  // The number of gateways. 0: every VM holds connections of its own.
  std::size_t gateways = 0;
  // Maximum number of connections that each gateway, or each VM if there are no gateways, may hold to the endpoint.
  std::size_t connections_per_vm = 1;
};

// Divides `connections`, the maximum that an endpoint accepts from all VMs together, among the fleet. Each data centre
// gets a gateway if there are enough connections. With many groups a VM is the gateway of only some, so that the number
// of its connections to endpoints doesn't grow with the fleet.
GatewayPlan PlanGateways(std::size_t connections, const FleetCounts& fleet);

// Chooses at most `count` gateways of the group, spread over the data centres in proportion to their VMs, with at least
// one in each if `count` suffices. Within a data centre a VM is chosen as often as its share of processors says. VMs
// that see the same fleet choose the same gateways.
std::vector<FleetVm> ChooseGateways(const GroupName& group, const std::vector<FleetVm>& fleet, std::size_t count);

// The gateways of a group in the order in which a VM of `data_centre` tries them for the organisation: those of its own
// data centre first. All VMs of a data centre use the same gateway for an organisation as long as it works, because a
// connection to an endpoint serves one organisation only.
std::vector<FleetVm> OrderForOrganisation(const OrganisationName& organisation, const std::string& data_centre,
                                          std::vector<FleetVm> gateways);

}  // namespace amaranthlane::gateways

#endif  // AMARANTHLANE_CORE_GATEWAYS_GATEWAY_CHOICE_H_
