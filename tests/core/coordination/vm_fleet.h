#ifndef AMARANTHLANE_TESTS_CORE_COORDINATION_VM_FLEET_H_
#define AMARANTHLANE_TESTS_CORE_COORDINATION_VM_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/coordination/coordination_system.h"
#include "core/failover/primary_change_system.h"

namespace amaranthlane::coordination {

// Simulates the coordination and failover systems of several VMs, one database group, the store and the endpoints,
// driven by a seed. It checks throughout that no VM may use a replaced primary, and that while a promotion is ordered
// no VM may use the former primary and no second VM may promote.
class VmFleet {
 public:
  VmFleet(std::size_t vms, std::uint64_t seed);

  void RunFor(std::chrono::milliseconds time);

  void Kill(std::size_t vm);
  void Restart(std::size_t vm);
  // Frozen VMs do nothing and receive nothing until they are unfrozen; messages sent to them arrive then.
  void SetFrozen(std::size_t vm, bool frozen);
  // Cuts the VM off from the other VMs and the store, but not from the endpoints.
  void SetIsolated(std::size_t vm, bool isolated);
  // Separates these VMs from the others. The store stays reachable from both sides.
  void SetPartition(std::set<std::size_t> side);

  // The number of VMs that may use the group's primary now.
  std::size_t PrimaryUsers() const;
  // The live VM that is the coordinator by its own record; none if there are several or none.
  std::optional<std::size_t> Coordinator() const;
  const CoordinationSystem& System(std::size_t vm) const;

  // Faults of the store.
  bool store_down = false;
  double write_reply_loss = 0;
  bool lost_writes_are_delayed = false;
  // VMs that the store doesn't answer.
  std::set<std::size_t> vms_without_store;
  // For each endpoint, the VMs that it doesn't answer.
  std::map<EndpointName, std::set<std::size_t>> unreachable_from;

  // The endpoint that is primary, and whether it answers. Endpoints are e1 to e3.
  EndpointName primary = "e1";
  Term term = 1;
  bool primary_responds = true;
  // The number of log offsets by which the replicas are behind the primary.
  std::uint64_t replica_lag = 0;
  std::size_t promotions = 0;
  std::optional<std::string> violation;

 private:
  static constexpr std::size_t kNoVm = SIZE_MAX;
  struct Vm {
    VmName name;
    Incarnation incarnation = 0;
    bool alive = true;
    bool frozen = false;
    bool isolated = false;
    std::unique_ptr<CoordinationSystem> system;
    std::unique_ptr<failover::PrimaryChangeSystem> failover;
  };
  struct Event {
    TimePoint due;
    // The VM where the event happens, and that VM's incarnation when it was scheduled; events of an earlier incarnation
    // are dropped. kNoVm: none.
    std::size_t vm = kNoVm;
    Incarnation incarnation = 0;
    std::function<void()> run;
  };

  void Start(std::size_t vm);
  void Step();
  void Tick(std::size_t vm);
  // True when a message can pass from one VM to the other now.
  bool CanDeliver(std::size_t from, std::size_t to) const;
  void Schedule(std::size_t vm, Duration delay, std::function<void()> run);
  Duration RandomDelay();
  bool Chance(double share);
  void Perform(std::size_t vm, Actions& actions);
  void DeliverHeartbeat(std::size_t from, const SendHeartbeat& action);
  void ReadStore(std::size_t vm);
  void WriteStore(std::size_t vm, const WriteRecord& action);
  bool ApplyWrite(const WriteRecord& action);
  void PerformFailover(std::size_t vm, const failover::Actions& actions);
  void Promote(std::size_t vm, const failover::OrderPromotion& order);
  void CheckPrimaryUsers();
  std::optional<std::size_t> Find(const VmName& name) const;
  bool Responds(const EndpointName& endpoint, std::size_t vm) const;
  LocalReport MakeReport(std::size_t vm) const;

  std::mt19937_64 random;
  TimePoint now;
  std::vector<Vm> vms;
  std::set<std::size_t> partition;
  std::vector<Event> events;
  std::optional<CoordinationRecord> stored;
  ObjectVersion revision = 0;
  // Former primaries by term.
  std::map<Term, EndpointName> former_primaries = {{1, "e1"}};
};

}  // namespace amaranthlane::coordination

#endif  // AMARANTHLANE_TESTS_CORE_COORDINATION_VM_FLEET_H_
