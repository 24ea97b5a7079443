#ifndef AMARANTHLANE_TESTS_CORE_CONFIGURATION_FLEET_H_
#define AMARANTHLANE_TESTS_CORE_CONFIGURATION_FLEET_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/configuration/distribution_system.h"

namespace amaranthlane::configuration {

// One VM of the tests: the system and its store.
struct FleetVm {
  FleetVm(const Member& member, std::uint64_t seed) : member(member), system(this->member, this->store, seed) {}

  Member member;
  ObjectStore store;
  DistributionSystem system;
  std::vector<DistributionEvent> inbox;
};

// A watch that waits at the fake platform.
struct FleetWatch {
  VmName vm;
  OpenWatch call;
  TimePoint until;
};

// Runs distribution systems against a fake of the platform. Every message takes one step.
class Fleet {
 public:
  Fleet(std::size_t data_centres, std::size_t vms_each, std::uint64_t seed);

  // Changes an object at the platform and returns its version.
  ObjectVersion Put(const std::string& kind, const std::string& name, bool deleted = false);
  // Removes an object without a trace, as when its tombstone was dropped.
  void Forget(const std::string& kind, const std::string& name);
  void Add(const Member& member);
  // Ends all watches that wait with an error.
  void BreakWatches();
  // Loses the watches of these VMs without an error.
  void SilenceWatches(const std::vector<VmName>& vms);
  void Step();
  // Runs until `done` or until `limit` has passed. Returns the time that it took.
  std::chrono::milliseconds RunUntil(const std::function<bool()>& done, std::chrono::milliseconds limit);
  bool InForceEverywhere(ObjectVersion version) const;
  bool Converged() const;
  // Whether every VM holds all that its complete version says.
  bool ClaimsHold() const;

  bool platform_up = true;
  // Whether a message from one VM to another arrives.
  std::function<bool(const VmName& from, const VmName& to)> arrives = [](const auto&, const auto&) { return true; };
  std::map<VmName, std::unique_ptr<FleetVm>> vms;
  std::size_t watch_calls = 0;
  std::size_t read_calls = 0;

 private:
  void Perform(FleetVm& vm, const OpenWatch& action);
  void Perform(FleetVm& vm, const CloseWatch& action);
  void Perform(FleetVm& vm, const ListObjects& action);
  void Perform(FleetVm& vm, const ReadObject& action);
  void Perform(FleetVm& vm, const SendDigest& action);
  void Perform(FleetVm& vm, const PullDifferences& action);
  void AnswerWatches();
  void TellMembers();

  std::uint64_t seed;
  TimePoint now{std::chrono::seconds(1000)};
  ObjectVersion version = 0;
  std::map<std::string, std::map<std::string, PlatformObject>> objects;
  std::vector<FleetWatch> watches;
};

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_TESTS_CORE_CONFIGURATION_FLEET_H_
