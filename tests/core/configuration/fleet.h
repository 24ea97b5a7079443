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

// One simulated VM: its distribution system and its store.
struct SimulatedVm {
  SimulatedVm(const Member& member, std::uint64_t seed) : member(member), system(this->member, this->store, seed) {}

  Member member;
  ObjectStore store;
  DistributionSystem system;
  std::vector<DistributionEvent> inbox;
};

// A watch that is open at the simulated platform.
struct PendingWatch {
  VmName vm;
  OpenWatch call;
  TimePoint deadline;
};

// Runs the distribution systems of many VMs against a simulated platform. Each message is delivered one step later.
class SimulatedFleet {
 public:
  SimulatedFleet(std::size_t data_centres, std::size_t vms_each, std::uint64_t seed);

  // Changes an object at the platform and returns its version.
  ObjectVersion Put(const std::string& kind, const std::string& name, bool deleted = false);
  // Removes an object without leaving a tombstone, as after the platform has dropped it.
  void EraseWithoutTombstone(const std::string& kind, const std::string& name);
  void Add(const Member& member);
  // Ends all open watches with an error.
  void FailWatches();
  // Drops the watches of these VMs without an error, so that they get no response.
  void LoseWatches(const std::vector<VmName>& vms);
  void Step();
  // Runs until `done` returns true or `timeout` has passed. Returns the simulated time that it took.
  std::chrono::milliseconds RunUntil(const std::function<bool()>& done, std::chrono::milliseconds timeout);
  bool AppliedEverywhere(ObjectVersion version) const;
  bool Converged() const;
  // Whether every VM holds all changes up to its complete version.
  bool CompleteVersionsHold() const;

  bool platform_up = true;
  // Whether a message from one VM to another is delivered.
  std::function<bool(const VmName& from, const VmName& to)> is_delivered = [](const auto&, const auto&) {
    return true;
  };
  std::map<VmName, std::unique_ptr<SimulatedVm>> vms;
  std::size_t watch_calls = 0;
  std::size_t read_calls = 0;

 private:
  void Perform(SimulatedVm& vm, const OpenWatch& action);
  void Perform(SimulatedVm& vm, const CloseWatch& action);
  void Perform(SimulatedVm& vm, const ListObjects& action);
  void Perform(SimulatedVm& vm, const ReadObject& action);
  void Perform(SimulatedVm& vm, const SendDigest& action);
  void Perform(SimulatedVm& vm, const PullDifferences& action);
  void AnswerWatches();
  void NotifyMembers();

  std::uint64_t seed;
  TimePoint now{std::chrono::seconds(1000)};
  ObjectVersion version = 0;
  std::map<std::string, std::map<std::string, PlatformObject>> objects;
  std::vector<PendingWatch> watches;
};

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_TESTS_CORE_CONFIGURATION_FLEET_H_
