#include <gtest/gtest.h>

#include <optional>

#include "core/coordination/vm_fleet.h"

// Promotion orders that a partition holds up past a change of coordinator, where the platform checks no fencing token.
namespace amaranthlane::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 12;

// A fleet whose coordinator has sent an order that the platform can't receive.
class HeldOrderFleet {
 public:
  explicit HeldOrderFleet(std::uint64_t seed) : fleet(6, seed) {
    this->fleet.RunFor(seconds(4));
    this->coordinator = this->fleet.Coordinator().value();
    this->fleet.SetCutFromPromotions(this->coordinator, true);
    this->fleet.primary_responds = false;
    for (int step = 0; step < 500 && this->fleet.promotions == 0; ++step) {
      this->fleet.RunFor(milliseconds(10));
    }
    EXPECT_EQ(this->fleet.promotions, 1U) << seed;
  }

  // Ends the partition once a successor has ordered a promotion.
  void ExpectNoLateOrder(std::uint64_t seed) {
    this->fleet.RunFor(seconds(6));
    EXPECT_EQ(this->fleet.term, 2U) << seed;
    this->fleet.SetCutFromPromotions(this->coordinator, false);
    this->fleet.RunFor(seconds(3));
    EXPECT_EQ(this->fleet.term, 2U) << seed;
    EXPECT_EQ(this->fleet.violation, std::nullopt) << seed;
  }

  VmFleet fleet;
  std::size_t coordinator = 0;
};

// Guards against an order that arrives after its coordinator has given up on it and handed over.
TEST(PromotionOrders, AnOrderThatWasGivenUpNeverFollowsThatOfASuccessor) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    HeldOrderFleet held(seed);
    held.ExpectNoLateOrder(seed);
    EXPECT_NE(held.fleet.Coordinator(), held.coordinator) << seed;
  }
}

// Guards against an order in flight that outlives its coordinator's process.
TEST(PromotionOrders, TheOrderOfAKilledCoordinatorNeverFollowsThatOfASuccessor) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    HeldOrderFleet held(seed);
    held.fleet.Kill(held.coordinator);
    held.ExpectNoLateOrder(seed);
  }
}

// Guards against an order in flight whose coordinator hangs, and so can't end it.
TEST(PromotionOrders, TheOrderOfAFrozenCoordinatorNeverFollowsThatOfASuccessor) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    HeldOrderFleet held(seed);
    held.fleet.SetFrozen(held.coordinator, true);
    held.ExpectNoLateOrder(seed);
    held.fleet.SetFrozen(held.coordinator, false);
    held.fleet.RunFor(seconds(3));
    EXPECT_EQ(held.fleet.violation, std::nullopt) << seed;
    EXPECT_EQ(held.fleet.PrimaryUsers(), 6U) << seed;
  }
}

// Guards against two orders of one coordinator that overtake each other: each group has one in flight at most.
TEST(PromotionOrders, ACoordinatorHasOneOrderOfAGroupInFlight) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    HeldOrderFleet held(seed);
    held.fleet.RunFor(milliseconds(400));
    EXPECT_EQ(held.fleet.promotions, 1U) << seed;
  }
}

}  // namespace
}  // namespace amaranthlane::coordination
