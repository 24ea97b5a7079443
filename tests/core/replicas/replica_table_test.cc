#include "core/replicas/replica_table.h"

#include <gtest/gtest.h>

#include <chrono>

#include "common/error.h"

namespace amaranthlane::replicas {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint At(int ms) { return TimePoint(milliseconds(ms)); }

GroupRecord Record(Term term, const EndpointName& primary) {
  GroupRecord record;
  record.group = "orders";
  record.region = "region-1";
  record.term = term;
  record.primary = primary;
  record.slots = 5;
  record.connections = 35;
  for (const char* name : {"a", "b", "c"}) record.instances.push_back({name, "127.0.0.1:1", name, false});
  return record;
}

class ReplicaTableTest : public ::testing::Test {
 protected:
  ReplicaTableTest() { this->table.ApplyRecord(Record(2, "a")); }

  std::vector<AcknowledgementResult> ReceiveReply(const EndpointName& endpoint, int sent, std::uint64_t offset,
                                                  Term term = 2) {
    const Role role = endpoint == this->table.Primary() ? Role::kPrimary : Role::kReplica;
    return this->table.ProbeAnswered(At(sent + 5), At(sent), {endpoint, role, term, {term, offset}, term});
  }

  ReadChoice Choose(int now, Duration max_staleness, std::optional<LogPosition> token = std::nullopt,
                    std::uint32_t active_at_b = 0) {
    return this->table.ChooseReadEndpoint(At(now), {max_staleness, token, "b"}, {{"b", active_at_b}});
  }

  ReplicaTable table{ReplicaSettings{}};
};

TEST_F(ReplicaTableTest, BoundsAgeFromTheSendTimeOfTheProbeThatSawThePosition) {
  this->ReceiveReply("a", 100, 10);
  this->ReceiveReply("a", 200, 20);
  this->ReceiveReply("b", 210, 15);
  EXPECT_EQ(this->table.AgeBound(At(250), "b"), milliseconds(150));
  // An older reply that arrives late doesn't lower the bound.
  this->ReceiveReply("a", 150, 12);
  EXPECT_EQ(this->table.AgeBound(At(250), "b"), milliseconds(150));
  // The data of a replica that has stopped replicating grows older.
  EXPECT_EQ(this->table.AgeBound(At(1250), "b"), milliseconds(1150));
  EXPECT_EQ(this->table.AgeBound(At(250), "c"), std::nullopt);
}

TEST_F(ReplicaTableTest, GivesNoBoundFromAnOlderTerm) {
  this->ReceiveReply("a", 100, 10);
  this->ReceiveReply("b", 110, 10);
  this->table.ApplyRecord(Record(3, "b"));
  EXPECT_EQ(this->table.AgeBound(At(120), "c"), std::nullopt);
  this->ReceiveReply("b", 200, 12, 3);
  this->ReceiveReply("c", 210, 12, 2);
  EXPECT_EQ(this->table.AgeBound(At(220), "c"), std::nullopt);
  EXPECT_EQ(this->table.AgeBound(At(220), {"c", 2, {2, 12}, At(215)}), std::nullopt);
}

TEST(AgeHistoryTest, ThinningOnlyRaisesBounds) {
  AgeHistory full(1000);
  AgeHistory thinned(8);
  for (int ms = 1; ms <= 100; ++ms) {
    full.Record(At(ms), ms);
    thinned.Record(At(ms), ms);
  }
  for (std::uint64_t offset = 1; offset <= 100; ++offset) {
    const Duration exact = *full.AgeBound(At(200), offset);
    EXPECT_GE(thinned.AgeBound(At(200), offset).value_or(exact), exact);
  }
  EXPECT_EQ(thinned.AgeBound(At(200), 100), milliseconds(100));
}

TEST_F(ReplicaTableTest, ChoosesTheLeastBusyReplicaThatIsFreshEnough) {
  this->ReceiveReply("a", 100, 10);
  this->ReceiveReply("b", 100, 10);
  this->ReceiveReply("c", 100, 10);
  EXPECT_EQ(this->Choose(150, milliseconds(100)).endpoint, "b");
  EXPECT_EQ(this->Choose(150, milliseconds(100), std::nullopt, 1).endpoint, "c");
  EXPECT_EQ(this->Choose(150, Duration::zero()).outcome, ReadOutcome::kPrimary);
  // A read is expected to take at least a millisecond, and longer where earlier reads took longer.
  EXPECT_EQ(this->Choose(200, milliseconds(100)).outcome, ReadOutcome::kPrimary);
  this->table.ReadFinished("b", milliseconds(60));
  EXPECT_EQ(this->Choose(150, milliseconds(100)).endpoint, "c");
  this->table.ProbeFailed("c", At(140));
  EXPECT_EQ(this->Choose(150, milliseconds(100)).outcome, ReadOutcome::kPrimary);
}

TEST_F(ReplicaTableTest, TellsWhetherATokenOfAnOlderTermIsCovered) {
  this->ReceiveReply("a", 100, 30);
  this->ReceiveReply("b", 100, 20);
  EXPECT_EQ(this->Choose(110, milliseconds(500), LogPosition{1, 5}).outcome, ReadOutcome::kPositionUnknown);
  this->table.SetTermBase({2, {1, 10}});
  EXPECT_EQ(this->Choose(110, milliseconds(500), LogPosition{1, 10}).outcome, ReadOutcome::kPrimary);
  EXPECT_EQ(this->Choose(110, milliseconds(500), LogPosition{1, 11}).outcome, ReadOutcome::kPositionLost);
  this->ReceiveReply("a", 120, 20);
  EXPECT_EQ(this->Choose(130, milliseconds(500), LogPosition{2, 20}).endpoint, "b");
  EXPECT_EQ(this->Choose(130, milliseconds(500), LogPosition{2, 21}).outcome, ReadOutcome::kPrimary);
}

TEST_F(ReplicaTableTest, RefusesToReturnAnAnswerThatBecameTooOldInTransit) {
  this->ReceiveReply("a", 100, 10);
  this->ReceiveReply("b", 100, 10);
  const ReadRequest request{milliseconds(50), LogPosition{2, 8}, "b"};
  EXPECT_TRUE(this->table.MayReturnToCaller(At(150), request, {"b", 2, {2, 10}, At(120)}));
  EXPECT_FALSE(this->table.MayReturnToCaller(At(151), request, {"b", 2, {2, 10}, At(120)}));
  EXPECT_FALSE(this->table.MayReturnToCaller(At(150), request, {"b", 2, {2, 7}, At(120)}));
  EXPECT_TRUE(this->table.MayReturnToCaller(At(400), request, {"a", 2, {2, 10}, At(120)}));
}

TEST_F(ReplicaTableTest, ResolvesWaitsByASyncedReplicaOnly) {
  EXPECT_FALSE(this->table.AwaitReplicated(1, 2, {2, 10}, At(1000)));
  EXPECT_TRUE(this->table.ProbeAnswered(At(5), At(0), {"b", Role::kReplica, 2, {1, 50}, 1}).empty());
  const auto results = this->ReceiveReply("b", 10, 10);
  ASSERT_EQ(results.size(), 1U);
  EXPECT_EQ(results[0].replication, Replication::kReplicated);
}

TEST_F(ReplicaTableTest, EndsWaitsAsUnknownAtTheDeadlineOrWithTheTerm) {
  this->table.AwaitReplicated(1, 2, {2, 10}, At(100));
  this->table.AwaitReplicated(2, 2, {2, 11}, At(900));
  this->table.FreezeAcknowledgements();
  EXPECT_TRUE(this->ReceiveReply("b", 10, 20).empty());
  EXPECT_EQ(this->table.NextDeadline(), At(100));
  EXPECT_EQ(this->table.Tick(At(100)).size(), 1U);
  const auto ended = this->table.ApplyRecord(Record(3, "b"));
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(ended[0].replication, Replication::kUnknown);
  EXPECT_EQ(this->table.AwaitReplicated(3, 2, {2, 12}, At(900))->replication, Replication::kUnknown);
}

TEST_F(ReplicaTableTest, ReportsAStallOnlyWhileNothingIsConfirmed) {
  this->ReceiveReply("b", 0, 10);
  this->ReceiveReply("a", 0, 20);
  EXPECT_EQ(this->table.StalledSince(), At(5));
  this->ReceiveReply("b", 50, 12);
  EXPECT_EQ(this->table.StalledSince(), At(55));
  this->ReceiveReply("b", 60, 20);
  EXPECT_EQ(this->table.StalledSince(), std::nullopt);
}

TEST(GroupRecordTest, RoundTripsThroughJsonAndRejectsAnUnknownPrimary) {
  GroupRecord record = Record(4, "b");
  record.history = {{4, {3, 70}}};
  record.instances[2].leaving = true;
  EXPECT_EQ(ParseGroupRecord(ToJson(record)), record);
  record.primary = "d";
  EXPECT_THROW(ParseGroupRecord(ToJson(record)), ParseError);
}

}  // namespace
}  // namespace amaranthlane::replicas
