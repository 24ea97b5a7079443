#include "core/promotion/candidate_choice.h"

#include <gtest/gtest.h>

namespace amaranthlane::promotion {
namespace {

using replicas::PositionReply;
using replicas::Role;

replicas::GroupRecord Record() {
  replicas::GroupRecord record;
  record.term = 2;
  record.primary = "a";
  for (const char* name : {"a", "b", "c"}) record.instances.push_back({name, "", "", false});
  return record;
}

PositionReply Replica(const char* name, LogPosition position, Term term = 2) {
  return {name, Role::kReplica, term, position, term};
}

TEST(CandidateChoiceTest, ANewLeaderWaitsForAllOtherInstances) {
  const auto one = ChooseCandidate(Record(), {Replica("b", {2, 9})}, {}, "a");
  EXPECT_FALSE(one.chosen);
  EXPECT_EQ(one.reason, WaitReason::kTooFewInstancesAnswered);
  const auto both = ChooseCandidate(Record(), {Replica("b", {2, 9}), Replica("c", {2, 11})}, {}, "a");
  EXPECT_EQ(both.chosen->endpoint, "c");
  EXPECT_TRUE(both.all_answered);
}

TEST(CandidateChoiceTest, ALeaderThatKnowsTheBoundNeedsOneInstanceThatCoversIt) {
  const AcknowledgedBounds bounds{.own = LogPosition{2, 9}, .inherited = LogPosition{1, 4}};
  EXPECT_EQ(ChooseCandidate(Record(), {Replica("b", {2, 9})}, bounds, "a").chosen->endpoint, "b");
  EXPECT_FALSE(ChooseCandidate(Record(), {Replica("b", {2, 8})}, bounds, "a").chosen);
  const auto both = ChooseCandidate(Record(), {Replica("b", {2, 8}), Replica("c", {1, 99})}, bounds, "a");
  EXPECT_EQ(both.reason, WaitReason::kAcknowledgedPositionNotCovered);
}

TEST(CandidateChoiceTest, AnInstanceThatLostItsDataDoesNotCount) {
  const auto choice = ChooseCandidate(Record(), {Replica("b", {2, 9}), Replica("c", {}, 0)}, {}, "a");
  EXPECT_EQ(choice.reason, WaitReason::kTooFewInstancesAnswered);
}

TEST(CandidateChoiceTest, ALeavingInstanceIsChosenOnlyWhenNoOtherCovers) {
  replicas::GroupRecord record = Record();
  record.instances[1].leaving = true;
  const std::vector<PositionReply> replies = {Replica("b", {2, 9}), Replica("c", {2, 8})};
  EXPECT_EQ(ChooseCandidate(record, replies, {.own = {}, .inherited = LogPosition{2, 8}}, "a").chosen->endpoint, "c");
  EXPECT_EQ(ChooseCandidate(record, replies, {.own = {}, .inherited = LogPosition{2, 9}}, "a").chosen->endpoint, "b");
}

}  // namespace
}  // namespace amaranthlane::promotion
