#include "integration/partition.h"

#include <algorithm>

namespace amaranthlane::testing {

namespace {

bool Contains(const std::vector<std::size_t>& numbers, std::size_t number) {
  return std::find(numbers.begin(), numbers.end(), number) != numbers.end();
}

}  // namespace

Partition::Partition(FleetFixture& fleet, const IsolatedMembers& isolated) : fleet(fleet), isolated(isolated) {
  this->SetCrossingRoutes("freeze");
}

void Partition::Heal() { this->SetCrossingRoutes("pass"); }

void Partition::SetCrossingRoutes(const std::string& mode) {
  for (std::size_t vm = 1; vm <= this->fleet.VmCount(); ++vm) {
    this->SetRoute("peers-vm-" + std::to_string(vm), Contains(this->isolated.vms, vm), mode);
  }
  for (std::size_t endpoint = 1; endpoint <= this->fleet.EndpointCount(); ++endpoint) {
    this->SetRoute("endpoint-" + std::to_string(endpoint), Contains(this->isolated.endpoints, endpoint), mode);
  }
  for (const std::size_t vm : this->isolated.vms) {
    this->fleet.SetRoute("platform-vm-" + std::to_string(vm), {{"mode", mode}});
  }
}

void Partition::SetRoute(const std::string& route, bool target_isolated, const std::string& mode) {
  for (std::size_t vm = 1; vm <= this->fleet.VmCount(); ++vm) {
    if (Contains(this->isolated.vms, vm) != target_isolated) {
      this->fleet.SetRoute(route, {{"mode", mode}, {"from", "127.0.1." + std::to_string(vm)}});
    }
  }
  for (std::size_t endpoint = 1; endpoint <= this->fleet.EndpointCount(); ++endpoint) {
    if (Contains(this->isolated.endpoints, endpoint) != target_isolated) {
      this->fleet.SetRoute(route, {{"mode", mode}, {"from", "127.0.2." + std::to_string(endpoint)}});
    }
  }
}

}  // namespace amaranthlane::testing
