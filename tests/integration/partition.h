#ifndef AMARANTHLANE_TESTS_INTEGRATION_PARTITION_H_
#define AMARANTHLANE_TESTS_INTEGRATION_PARTITION_H_

#include <cstddef>
#include <string>
#include <vector>

#include "integration/fleet_fixture.h"

namespace amaranthlane::testing {

// The members isolated from the rest of a fleet. VMs and endpoints are numbered from 1.
struct IsolatedMembers {
  std::vector<std::size_t> vms;
  std::vector<std::size_t> endpoints;
};

// A network partition: no byte passes between the isolated members and the rest of the fleet, nor between the isolated
// VMs and the platform. Connections stay open but carry no data. Callers reach both sides.
class Partition {
 public:
  // Starts the partition, which lasts until Heal.
  Partition(FleetFixture& fleet, const IsolatedMembers& isolated);

  // Ends the partition. Data held back is delivered, as TCP retransmission would do.
  void Heal();

 private:
  // Sets the mode of all connections that cross the partition.
  void SetCrossingRoutes(const std::string& mode);
  void SetRoute(const std::string& route, bool target_isolated, const std::string& mode);

  FleetFixture& fleet;
  IsolatedMembers isolated;
};

}  // namespace amaranthlane::testing

#endif  // AMARANTHLANE_TESTS_INTEGRATION_PARTITION_H_
