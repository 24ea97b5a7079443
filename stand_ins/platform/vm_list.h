#ifndef AMARANTHLANE_STAND_INS_PLATFORM_VM_LIST_H_
#define AMARANTHLANE_STAND_INS_PLATFORM_VM_LIST_H_

#include <chrono>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "common/boot_clock.h"

namespace amaranthlane::stand_ins {

// An entry of the platform's VM list.
struct Vm {
  std::string vm;
  std::string data_centre;
  std::string region;
  std::string address;
  // `live` or `leaving`; `gone` removes the VM from the list.
  std::string state;
};

// Throws ParseError.
Vm ParseVm(const nlohmann::json& value);

// The platform's list of VMs. Each change becomes visible after the lag that was set when the change was made.
class VmList {
 public:
  void SetLag(std::chrono::milliseconds lag);
  void AddChange(Vm vm, TimePoint now);
  // Applies the changes that are due and returns the list visible at `now` as JSON.
  nlohmann::json FormatVisible(TimePoint now);

 private:
  struct PendingChange {
    Vm vm;
    TimePoint visible_at;
  };

  std::chrono::milliseconds lag{0};
  std::deque<PendingChange> pending;
  std::map<std::string, Vm> vms;
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_PLATFORM_VM_LIST_H_
