#include "stand_ins/platform/vm_list.h"

#include <utility>

#include "common/error.h"
#include "common/json.h"

namespace amaranthlane::stand_ins {

Vm ParseVm(const nlohmann::json& value) {
  const json::ObjectReader reader(value, "vm");
  Vm vm = {reader.String("vm"), reader.String("data_centre"), reader.String("region"), reader.String("address"),
           reader.StringOr("state", "live")};
  if (vm.state != "live" && vm.state != "leaving" && vm.state != "gone") {
    throw ParseError("vm", "state", "live, leaving or gone");
  }
  return vm;
}

void VmList::SetLag(std::chrono::milliseconds lag) { this->lag = lag; }

void VmList::AddChange(Vm vm, TimePoint now) { this->pending.push_back({std::move(vm), now + this->lag}); }

nlohmann::json VmList::FormatVisible(TimePoint now) {
  // Changes become visible in the order in which they were made, even if the lag was shortened in between.
  while (!this->pending.empty() && this->pending.front().visible_at <= now) {
    Vm& vm = this->pending.front().vm;
    if (vm.state == "gone") {
      this->vms.erase(vm.vm);
    } else {
      this->vms[vm.vm] = vm;
    }
    this->pending.pop_front();
  }
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [name, vm] : this->vms) {
    list.push_back({{"vm", vm.vm},
                    {"data_centre", vm.data_centre},
                    {"region", vm.region},
                    {"address", vm.address},
                    {"state", vm.state}});
  }
  return {{"vms", std::move(list)}};
}

}  // namespace amaranthlane::stand_ins
