#include "core/leadership/placement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace amaranthlane::leadership {
namespace {

std::map<VmName, VmView> MakeVms(std::size_t count, std::size_t data_centres) {
  std::map<VmName, VmView> vms;
  for (std::size_t index = 0; index < count; ++index) {
    const VmName name = "vm-" + std::to_string(index);
    vms[name] = {name, 1, "dc-" + std::to_string(index % data_centres), "eu", true, false};
  }
  return vms;
}

TEST(PlacementTest, SpreadsGroupsEvenly) {
  std::vector<GroupView> groups;
  for (int index = 0; index < 950; ++index) {
    groups.push_back({"group-" + std::to_string(index), "eu"});
  }
  std::map<VmName, int> load;
  for (const auto& [group, vm] : PreferredLeaders(groups, MakeVms(550, 4))) {
    ++load[vm];
  }
  const auto most =
      std::max_element(load.begin(), load.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
  EXPECT_EQ(most->second, 2);
}

TEST(PlacementTest, WitnessesOfALargeRegionKeepAMajorityWithoutOneDataCentre) {
  const LeadershipSettings settings;
  const std::vector<VmView> eligible = EligibleVms(MakeVms(30, 3), "eu");
  for (const VmView& leader : eligible) {
    const std::vector<VmName> witnesses = ChooseWitnesses(leader.vm, eligible, {}, settings);
    ASSERT_EQ(witnesses.size(), settings.witness_count);
    EXPECT_EQ(std::count(witnesses.begin(), witnesses.end(), leader.vm), 0);
    std::map<std::string, std::size_t> lost;
    for (const VmName& witness : witnesses) {
      ++lost[eligible[static_cast<std::size_t>(std::find_if(eligible.begin(), eligible.end(),
                                                            [&](const VmView& vm) { return vm.vm == witness; }) -
                                               eligible.begin())]
                 .data_centre];
    }
    for (const auto& [data_centre, count] : lost) {
      EXPECT_GE(witnesses.size() - count, Majority(witnesses.size())) << data_centre;
    }
  }
}

TEST(PlacementTest, FirstSuccessorIsInAnotherDataCentre) {
  const std::map<VmName, VmView> vms = MakeVms(6, 3);
  const std::vector<VmName> successors = ChooseSuccessors("register-1", "vm-0", EligibleVms(vms, "eu"), {});
  ASSERT_EQ(successors.size(), 2U);
  EXPECT_NE(vms.at(successors[0]).data_centre, "dc-0");
}

TEST(PlacementTest, AWitnessThatIsNotLiveIsKeptInASmallRegion) {
  std::map<VmName, VmView> vms = MakeVms(3, 3);
  vms["vm-2"].live = false;
  const std::vector<VmName> present = {"vm-0", "vm-1", "vm-2"};
  EXPECT_EQ(ChooseWitnesses("vm-0", EligibleVms(vms, "eu"), present, {}), present);
  vms["vm-2"].leaving = true;
  EXPECT_EQ(ChooseWitnesses("vm-0", EligibleVms(vms, "eu"), present, {}).size(), 2U);
}

}  // namespace
}  // namespace amaranthlane::leadership
