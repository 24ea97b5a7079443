#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "core/coordination/vm_fleet.h"

namespace amaranthlane::coordination {
namespace {

// More than the number of members, so that some VMs aren't members.
constexpr std::size_t kVms = 7;
constexpr int kFaultKinds = 19;

// A large or small share of processors for each VM, so that members and the coordinator are replaced by larger VMs.
std::vector<Millicores> Shares(std::uint64_t seed) {
  std::vector<Millicores> shares;
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    shares.push_back({(seed >> vm) % 2 == 0 ? 120U : 500U});
  }
  return shares;
}

EndpointName Endpoint(std::size_t vm) { return "e" + std::to_string(1 + vm % 3); }

// Injects one fault, or ends it.
void InjectFault(VmFleet& fleet, int kind, std::size_t vm) {
  switch (kind) {
    case 0:
      fleet.Kill(vm);
      break;
    case 1:
      fleet.Restart(vm);
      break;
    case 2:
      fleet.SetFrozen(vm, true);
      break;
    case 3:
      fleet.SetFrozen(vm, false);
      break;
    case 4:
      fleet.SetIsolated(vm, true);
      break;
    case 5:
      fleet.SetIsolated(vm, false);
      break;
    case 6:
      fleet.store_down = !fleet.store_down;
      break;
    case 7:
      fleet.write_reply_loss = fleet.write_reply_loss > 0 ? 0 : 0.4;
      fleet.lost_writes_are_delayed = true;
      break;
    case 8:
      fleet.primary_responds = false;
      break;
    case 9:
      if (fleet.vms_without_store.erase(vm) == 0) {
        fleet.vms_without_store.insert(vm);
      }
      break;
    case 10:
      fleet.SetPartition({vm, (vm + 3) % kVms});
      break;
    case 11:
      fleet.SetPartition({});
      break;
    case 12:
      fleet.PublishConfiguration();
      break;
    case 13:
      fleet.SilenceWatches();
      break;
    case 14:
      fleet.RestoreStore(std::chrono::milliseconds(200) + std::chrono::milliseconds(1200) * vm);
      break;
    case 15:
      fleet.SetCutFromPromotions(vm, true);
      break;
    case 16:
      fleet.SetCutFromPromotions(vm, false);
      break;
    case 17:
      fleet.SetDeaf(Endpoint(vm), vm < 3);
      break;
    case 18:
      fleet.SetDraining(Endpoint(vm), vm < 3);
      break;
    default:
      break;
  }
}

// Whatever fails, singly or together: no VM may use a primary that is being replaced, at most one VM may promote, no
// order of a former coordinator follows that of its successor, no acknowledged commit is lost where commits wait for a
// replica, and each VM that no fault affects has an acknowledged configuration in time.
TEST(CoordinationProperty, NoVmUsesAReplacedPrimary) {
  const bool passed = rc::check("no VM uses a replaced primary", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    VmFleet fleet(kVms, seed, Shares(seed));
    fleet.synchronous_replicas = seed % 2;
    fleet.RunFor(std::chrono::seconds(3));
    const auto faults = *rc::gen::container<std::vector<std::tuple<int, std::size_t, int>>>(rc::gen::tuple(
        rc::gen::inRange(0, kFaultKinds), rc::gen::inRange<std::size_t>(0, kVms), rc::gen::inRange(0, 1500)));
    for (const auto& [kind, vm, pause] : faults) {
      InjectFault(fleet, kind, vm);
      fleet.RunFor(std::chrono::milliseconds(pause));
    }
    RC_ASSERT(fleet.violation.value_or("none") == std::string("none"));
  });
  EXPECT_TRUE(passed);
}

// Once every fault has ended, all VMs use one primary again.
TEST(CoordinationProperty, ServiceReturnsWhenFaultsEnd) {
  const bool passed = rc::check("service returns when faults end", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    VmFleet fleet(kVms, seed, Shares(seed));
    fleet.synchronous_replicas = seed % 2;
    fleet.RunFor(std::chrono::seconds(3));
    const auto faults = *rc::gen::container<std::vector<std::tuple<int, std::size_t, int>>>(rc::gen::tuple(
        rc::gen::inRange(0, kFaultKinds), rc::gen::inRange<std::size_t>(0, kVms), rc::gen::inRange(0, 800)));
    for (const auto& [kind, vm, pause] : faults) {
      InjectFault(fleet, kind, vm);
      fleet.RunFor(std::chrono::milliseconds(pause));
    }
    fleet.store_down = false;
    fleet.write_reply_loss = 0;
    fleet.vms_without_store.clear();
    fleet.SetPartition({});
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      fleet.SetFrozen(vm, false);
      fleet.SetIsolated(vm, false);
      fleet.SetCutFromPromotions(vm, false);
      fleet.SetDeaf(Endpoint(vm), false);
      fleet.SetDraining(Endpoint(vm), false);
      fleet.Restart(vm);
    }
    fleet.RunFor(std::chrono::seconds(14));
    RC_ASSERT(fleet.violation.value_or("none") == std::string("none"));
    RC_ASSERT(fleet.PrimaryUsers() == kVms);
  });
  EXPECT_TRUE(passed);
}

}  // namespace
}  // namespace amaranthlane::coordination
