#ifndef AMARANTHLANE_TESTS_INTEGRATION_PARTITION_H_
#define AMARANTHLANE_TESTS_INTEGRATION_PARTITION_H_

#include <cstddef>
#include <string>
#include <vector>

#include "integration/fleet_fixture.h"

namespace amaranthlane::testing {

// What is cut off from the rest of a fleet. VMs and endpoints count from 1.
struct IsolatedMembers {
  std::vector<std::size_t> vms;
  std::vector<std::size_t> endpoints;
};

// A network partition: no byte passes between the side and the rest of the fleet, and the side doesn't reach the
// platform. Connections stay open and silent. Callers reach both sides.
class Partition {
 public:
  // In force until Heal.
  Partition(FleetFixture& fleet, const IsolatedMembers& isolated);

  // Lets go on what was held, as the network's own retransmission would.
  void Heal();

 private:
  // Sets the mode of every route for connections that cross the partition.
  void SetCrossingRoutes(const std::string& mode);
  void SetRoute(const std::string& route, bool target_isolated, const std::string& mode);

  FleetFixture& fleet;
  IsolatedMembers isolated;
};

}  // namespace amaranthlane::testing

#endif  // AMARANTHLANE_TESTS_INTEGRATION_PARTITION_H_
