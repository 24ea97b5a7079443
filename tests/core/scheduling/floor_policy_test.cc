#include "core/scheduling/floor_policy.h"

#include <gtest/gtest.h>

namespace amaranthlane::scheduling {
namespace {

using std::chrono::milliseconds;

constexpr EndpointIndex kEndpoint = 0;
constexpr RankFloors kFloors = {0.0, 0.0, 0.25};

class FloorPolicyTest : public testing::Test {
 protected:
  FloorPolicyTest() {
    for (const Rank rank : {Rank::kUrgent, Rank::kBulk}) {
      this->heads[static_cast<std::size_t>(rank)] = {
          .waiting = true, .arrival = TimePoint(), .expected_service_time = milliseconds(2)};
    }
  }

  // Assigns one slot and returns whether bulk work got it.
  bool NextSlotGoesToBulk() {
    const Rank rank = *this->policy.ChooseRank(kEndpoint, this->heads);
    this->policy.Charge(kEndpoint, rank, this->heads, kFloors);
    return rank == Rank::kBulk;
  }

  int CountBulkSlots(int slots) {
    int bulk = 0;
    for (int slot = 0; slot < slots; ++slot) {
      bulk += this->NextSlotGoesToBulk() ? 1 : 0;
    }
    return bulk;
  }

  FloorPolicy policy;
  RankHeads heads;
};

TEST_F(FloorPolicyTest, AssignsExactlyTheFloor) { EXPECT_NEAR(this->CountBulkSlots(400), 100, 1); }

TEST_F(FloorPolicyTest, DeductsSlotTimeBeyondTheExpected) {
  ASSERT_EQ(this->CountBulkSlots(5), 1);
  this->policy.CorrectCharge(kEndpoint, Rank::kBulk, milliseconds(18));
  // The statement took ten times the slot time that it was charged. The floor, a quarter, repays that over forty slots
  // of 2 ms.
  EXPECT_EQ(this->CountBulkSlots(35), 0);
  EXPECT_GT(this->CountBulkSlots(10), 0);
}

TEST_F(FloorPolicyTest, AccruesNoCreditWhileNothingWaits) {
  this->heads[2].waiting = false;
  EXPECT_EQ(this->CountBulkSlots(100), 0);
  this->heads[2].waiting = true;
  EXPECT_EQ(this->CountBulkSlots(4), 0);
}

TEST_F(FloorPolicyTest, EstimatesTheWaitByTheFloorWhenUrgentWorkTakesEverySlot) {
  RankLoads loads;
  loads.slots = 2.0;
  loads.floors = kFloors;
  loads.backlogs[0] = std::chrono::seconds(10);
  loads.backlogs[2] = milliseconds(100);
  loads.admitted_slots[0] = 5.0;
  EXPECT_EQ(this->policy.EstimateWait(Rank::kBulk, loads), milliseconds(200));
  loads.floors = {};
  EXPECT_EQ(this->policy.EstimateWait(Rank::kBulk, loads), kMaxWaitEstimate);
}

}  // namespace
}  // namespace amaranthlane::scheduling
