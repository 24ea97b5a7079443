#include <gtest/gtest.h>

#include <span>
#include <vector>

#include "core/leadership/leadership_system.h"

namespace amaranthlane::leadership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

std::vector<Action> TickWith(LeadershipSystem& system, TimePoint now, const Event& event) {
  return system.Tick(now, std::span(&event, 1));
}

template <typename ActionType>
std::vector<ActionType> ActionsOfType(const std::vector<Action>& actions) {
  std::vector<ActionType> found_actions;
  for (const Action& action : actions) {
    if (const auto* found = std::get_if<ActionType>(&action)) {
      found_actions.push_back(*found);
    }
  }
  return found_actions;
}

LeadershipRecord MakeRecord(Epoch epoch, const Holder& leader, std::vector<VmName> witnesses) {
  LeadershipRecord record;
  record.epoch = epoch;
  record.leader = leader;
  record.witnesses = std::move(witnesses);
  return record;
}

// A restarted witness that has not received the record from the platform yet. It and `b` and `c` are the witnesses of
// epoch 1.
class WitnessTest : public testing::Test {
 protected:
  WitnessTest() {
    TickWith(this->witness, kStart, RecordSeen{"g", 1, MakeRecord(1, {"x", 1}, {"a", "b", "c"}), RecordSource::kPeer});
  }

  bool Grants(TimePoint now, const Holder& holder, Ballot ballot) {
    const GrantRequestReceived event{1, {holder, {{"g", ballot, false}}}};
    const auto replies = ActionsOfType<SendGrantReply>(TickWith(this->witness, now, event));
    return !replies.empty() && replies.front().reply.entries.front().granted;
  }

  void Confirm() { TickWith(this->witness, this->awake, RecordSeen{"g", 1, MakeRecord(1, {"x", 1}, {"a", "b", "c"})}); }

  void DeliverInquiryReply(const VmName& from, Ballot floor) {
    CloseReply reply;
    reply.witness = from;
    reply.group = "g";
    reply.ballot = {1, 0};
    reply.floor = floor;
    TickWith(this->witness, this->awake, CloseReplyReceived{this->awake, reply});
  }

  LeadershipSystem witness{{"a", 2}, {}, kStart};
  TimePoint awake = kStart + seconds(2);
};

TEST_F(WitnessTest, IsSilentForTheGrantDurationAfterItsStart) {
  this->Confirm();
  const GrantRequestReceived event{7, {{"x", 1}, {{"g", {1, 0}, false}}}};
  const auto rejected = ActionsOfType<RejectRequest>(TickWith(this->witness, this->awake - milliseconds(1), event));
  ASSERT_EQ(rejected.size(), 1U);
  EXPECT_EQ(rejected.front().reply_id, 7U);
  EXPECT_TRUE(this->Grants(this->awake, {"x", 1}, {1, 0}));
}

TEST_F(WitnessTest, GrantsNothingBeforeItKnowsWhatItHadClosed) {
  EXPECT_FALSE(this->Grants(this->awake, {"x", 1}, {1, 0}));
  this->DeliverInquiryReply("b", {1, 0});
  EXPECT_FALSE(this->Grants(this->awake, {"x", 1}, {1, 0}));
  this->DeliverInquiryReply("c", {1, 0});
  EXPECT_TRUE(this->Grants(this->awake, {"x", 1}, {1, 0}));
}

TEST_F(WitnessTest, LearnsFromTheOthersThatTheEpochWasClosed) {
  EXPECT_FALSE(this->Grants(this->awake, {"x", 1}, {1, 0}));
  this->DeliverInquiryReply("b", {2, 0});
  this->DeliverInquiryReply("c", {1, 0});
  EXPECT_FALSE(this->Grants(this->awake, {"x", 1}, {1, 0}));
}

TEST_F(WitnessTest, LearnsFromThePlatformThatTheEpochWasClosed) {
  TickWith(this->witness, this->awake, RecordSeen{"g", 2, MakeRecord(2, {"y", 1}, {"d"})});
  EXPECT_FALSE(this->Grants(this->awake, {"x", 1}, {1, 0}));
}

TEST_F(WitnessTest, GrantsToOneHolderAtATimeWhateverTheBallots) {
  this->Confirm();
  ASSERT_TRUE(this->Grants(this->awake, {"x", 1}, {1, 0}));
  EXPECT_FALSE(this->Grants(this->awake + seconds(2) - milliseconds(1), {"y", 1}, {1, 1}));
  EXPECT_FALSE(this->Grants(this->awake + seconds(2) - milliseconds(1), {"x", 2}, {1, 0}));
  EXPECT_TRUE(this->Grants(this->awake + seconds(2), {"y", 1}, {1, 1}));
  EXPECT_FALSE(this->Grants(this->awake + seconds(9), {"x", 1}, {1, 0}));
}

// A VM that the record names as leader of epoch 2, while epoch 1 has yet to be closed by its witnesses.
class HolderTest : public testing::Test {
 protected:
  std::vector<Action> ObserveRecord(std::vector<VmName> earlier) {
    LeadershipRecord record = MakeRecord(2, {"a", 1}, {"d"});
    record.unclosed = {{1, std::move(earlier)}};
    return TickWith(this->holder, kStart, RecordSeen{"g", 2, record});
  }

  std::vector<Action> Accept(const VmName& from, TimePoint sent_at, TimePoint now, milliseconds remaining) {
    CloseReply reply{.witness = from,
                     .group = "g",
                     .ballot = {2, 0},
                     .accepted = true,
                     .holder_alive = false,
                     .recovering = false,
                     .floor = {2, 0},
                     .remaining = remaining};
    return TickWith(this->holder, now, CloseReplyReceived{sent_at, reply});
  }

  LeadershipSystem holder{{"a", 1}, {}, kStart};
};

TEST_F(HolderTest, WaitsForTheLongestRemainingGrant) {
  EXPECT_EQ(ActionsOfType<SendCloseRequest>(this->ObserveRecord({"b", "c"})).size(), 2U);
  this->Accept("b", kStart, kStart, milliseconds(300));
  this->Accept("c", kStart, kStart, milliseconds(900));
  EXPECT_TRUE(ActionsOfType<SendGrantRequest>(this->holder.Tick(kStart + milliseconds(899), {})).empty());
  EXPECT_EQ(ActionsOfType<SendGrantRequest>(this->holder.Tick(kStart + milliseconds(900), {})).size(), 1U);
}

TEST_F(HolderTest, AcceptsFurtherApartThanAGrantDurationDoNotCountTogether) {
  this->ObserveRecord({"b", "c"});
  this->Accept("b", kStart, kStart, milliseconds(0));
  const TimePoint late = kStart + seconds(3);
  EXPECT_TRUE(ActionsOfType<SendGrantRequest>(this->Accept("c", late, late, milliseconds(0))).empty());
  EXPECT_EQ(ActionsOfType<SendGrantRequest>(this->Accept("b", late, late, milliseconds(0))).size(), 1U);
}

TEST_F(HolderTest, ValidityCountsFromTheSendTimeOfTheRequest) {
  this->ObserveRecord({"b"});
  this->Accept("b", kStart, kStart, milliseconds(0));
  const GrantReply reply{"d", {{"g", {2, 0}, true, {2, 0}}}};
  TickWith(this->holder, kStart + milliseconds(700), GrantReplyReceived{kStart, reply});
  EXPECT_EQ(this->holder.ValidUntil("g"), kStart + milliseconds(1900));
  EXPECT_EQ(ActionsOfType<LostLeadership>(this->holder.Tick(kStart + milliseconds(1900), {})).size(), 1U);
}

TEST_F(HolderTest, KeepsAnEarlierEpochUnclosedUntilItsOwnGrantsDetermineTheValidity) {
  TickWith(this->holder, kStart, RecordSeen{"g", 1, MakeRecord(1, {"a", 1}, {"b"})});
  TickWith(this->holder, kStart, GrantReplyReceived{kStart, {"b", {{"g", {1, 0}, true, {1, 0}}}}});
  ASSERT_TRUE(this->holder.ValidUntil("g").has_value());
  this->ObserveRecord({"b"});
  const TimePoint later = kStart + milliseconds(10);
  EXPECT_TRUE(ActionsOfType<UpdateRecord>(this->Accept("b", later, later, milliseconds(0))).empty());
  const GrantReply reply{"d", {{"g", {2, 0}, true, {2, 0}}}};
  const auto updates = ActionsOfType<UpdateRecord>(TickWith(this->holder, later, GrantReplyReceived{later, reply}));
  ASSERT_EQ(updates.size(), 1U);
  EXPECT_TRUE(updates.front().record.unclosed.empty());
}

TEST_F(HolderTest, AnUnansweredUpdateIsSettledByARead) {
  this->ObserveRecord({"b"});
  this->Accept("b", kStart, kStart, milliseconds(0));
  const GrantReplyReceived granted{kStart, {"d", {{"g", {2, 0}, true, {2, 0}}}}};
  const auto updates = ActionsOfType<UpdateRecord>(TickWith(this->holder, kStart, granted));
  ASSERT_EQ(updates.size(), 1U);
  const UpdateCompleted lost{"g", updates.front().record.update_id, UpdateResult::kUnknown, 0, std::nullopt};
  TickWith(this->holder, kStart + milliseconds(10), lost);
  const auto actions = this->holder.Tick(kStart + milliseconds(600), {});
  EXPECT_EQ(ActionsOfType<ReadRecord>(actions).size(), 1U);
  EXPECT_TRUE(ActionsOfType<UpdateRecord>(actions).empty());
  const RecordSeen applied{"g", 3, updates.front().record};
  EXPECT_TRUE(ActionsOfType<UpdateRecord>(TickWith(this->holder, kStart + milliseconds(620), applied)).empty());
}

}  // namespace
}  // namespace amaranthlane::leadership
