#include "core/carriers/carrier_choice.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace amaranthlane::carriers {
namespace {

std::vector<FleetVm> MakeFleet(std::size_t vms) {
  std::vector<FleetVm> fleet;
  for (std::size_t index = 0; index < vms; ++index) {
    fleet.push_back({"vm-" + std::to_string(index), "10.0.0.1:1", "dc-" + std::to_string(index % 3)});
  }
  return fleet;
}

TEST(CarrierPlan, EveryVmHoldsConnectionsIfThereAreEnough) {
  EXPECT_EQ(PlanCarriers(34, {9, 3, 3}).carriers, 0U);
  EXPECT_EQ(PlanCarriers(34, {9, 3, 3}).connections, 3U);
  EXPECT_EQ(PlanCarriers(28, {10, 4, 3}).carriers, 0U);
}

TEST(CarrierPlan, GatewaysStayWithinTheConnectionLimit) {
  for (const std::size_t limit : {1U, 2U, 5U, 6U, 10U, 47U, 151U}) {
    for (std::size_t fleet = 2; fleet <= 600; ++fleet) {
      for (const std::size_t groups : {3U, 8U, 40U, 950U}) {
        const CarrierPlan plan = PlanCarriers(limit, {fleet, 3, groups});
        const std::size_t holders =
            plan.carriers == 0 ? fleet : ChooseCarriers("group-1", MakeFleet(fleet), plan.carriers).size();
        EXPECT_LE(holders * plan.connections, limit) << fleet << " VMs, " << limit << " connections";
      }
    }
  }
}

TEST(CarrierPlan, ConnectionsOfAVmDoNotGrowWithTheFleet) {
  for (const std::size_t fleet : {30U, 100U, 300U, 550U}) {
    const std::size_t groups = fleet * 950 / 550;
    const CarrierPlan plan = PlanCarriers(47, {fleet, 3, groups});
    EXPECT_EQ(plan.carriers, 3U) << fleet;
    EXPECT_LE(plan.connections * plan.carriers, 47U);
    EXPECT_LE(plan.carriers * groups / fleet, 6U) << fleet;
  }
}

TEST(CarrierPlan, EachDataCentreGetsOneOfFewConnections) {
  EXPECT_EQ(PlanCarriers(6, {9, 3, 3}).carriers, 3U);
  EXPECT_EQ(PlanCarriers(6, {9, 3, 3}).connections, 1U);
}

TEST(GatewayChoice, EveryDataCentreHasAGateway) {
  std::set<std::string> data_centres;
  for (const FleetVm& carrier : ChooseCarriers("group-1", MakeFleet(58), 14)) {
    data_centres.insert(carrier.data_centre);
  }
  EXPECT_EQ(data_centres.size(), 3U);
}

TEST(GatewayChoice, ALargeDataCentreDoesNotExceedTheCount) {
  std::vector<FleetVm> fleet;
  for (std::size_t index = 0; index < 25; ++index) {
    fleet.push_back(
        {"vm-" + std::to_string(index), "10.0.0.1:1", index < 19 ? "dc-0" : "dc-" + std::to_string(index % 2 + 1)});
  }
  EXPECT_EQ(ChooseCarriers("group-1", fleet, 4).size(), 4U);
}

TEST(GatewayChoice, ALostVmChangesAtMostOneGateway) {
  std::vector<FleetVm> fleet = MakeFleet(57);
  const std::vector<FleetVm> before = ChooseCarriers("group-1", fleet, 15);
  fleet.erase(std::find(fleet.begin(), fleet.end(), before.front()));
  const std::vector<FleetVm> after = ChooseCarriers("group-1", fleet, 15);
  std::size_t kept = 0;
  for (const FleetVm& carrier : before) {
    kept += static_cast<std::size_t>(std::count(after.begin(), after.end(), carrier));
  }
  EXPECT_GE(kept + 2, before.size());
}

TEST(FleetDigest, DiffersForDifferentFleets) {
  EXPECT_EQ(FleetDigest(MakeFleet(5)), FleetDigest(MakeFleet(5)));
  EXPECT_NE(FleetDigest(MakeFleet(5)), FleetDigest(MakeFleet(6)));
}

}  // namespace
}  // namespace amaranthlane::carriers
