#include "core/coordination/messages.h"

#include <gtest/gtest.h>

#include "common/error.h"
#include "common/json.h"
#include "core/coordination/ledger.h"
#include "core/coordination/rights.h"

namespace amaranthlane::coordination {
namespace {

using std::chrono::milliseconds;

const TimePoint kNow{std::chrono::seconds(50)};

CoordinationRecord MakeRecord() {
  CoordinationRecord record;
  record.version = 4;
  record.epoch = 2;
  record.fencing_token = 7;
  record.members = {{"a", "10.0.0.1:1"}, {"b", "10.0.0.2:1"}};
  record.groups = {{"g", {3, "e1", true}}};
  record.update_id = "a/1/4";
  return record;
}

TEST(CoordinationMessages, ARecordSurvivesTheStore) {
  EXPECT_EQ(ParseCoordinationRecord(ToJson(MakeRecord())), MakeRecord());
}

TEST(CoordinationMessages, ARecordWithoutMembersIsRefused) {
  nlohmann::json document = ToJson(MakeRecord());
  document.erase("members");
  EXPECT_THROW(ParseCoordinationRecord(document), ParseError);
}

TEST(CoordinationMessages, AReplyKeepsItsAgesOnTheSafeSide) {
  BeatReply reply;
  reply.vm = "a";
  reply.knowledge.positions = {{"g", {2, 9}, std::chrono::microseconds(1700)}};
  reply.record = MakeRecord();
  const BeatReply read = ParseBeatReply(ToJson(reply));
  EXPECT_GE(read.knowledge.positions.front().age, reply.knowledge.positions.front().age);
  EXPECT_EQ(read.record, reply.record);
}

TEST(CoordinationMessages, ABeatSurvivesTheNetwork) {
  Beat beat;
  beat.vm = "c";
  beat.incarnation = 9;
  beat.busy = {"g"};
  beat.suspects = {"h"};
  beat.leaving = true;
  const Beat read = ParseBeat(ToJson(beat));
  EXPECT_EQ(read.incarnation, 9U);
  EXPECT_EQ(read.busy, beat.busy);
  EXPECT_EQ(read.suspects, beat.suspects);
  EXPECT_TRUE(read.leaving);
  EXPECT_EQ(read.record, std::nullopt);
}

TEST(PrimaryRights, CountFromTheOldestPromiseOfAllMembers) {
  const CoordinationSettings settings;
  PrimaryRights rights(settings);
  rights.Add("a", 2, kNow, {});
  rights.Extend(MakeRecord());
  EXPECT_EQ(rights.Until(), TimePoint());
  rights.Add("b", 2, kNow - milliseconds(300), {});
  rights.Extend(MakeRecord());
  EXPECT_EQ(rights.Until(), kNow - milliseconds(300) + settings.promise - settings.margin);
}

TEST(PrimaryRights, APromiseOfAnotherEpochDoesNotCount) {
  PrimaryRights rights{CoordinationSettings{}};
  rights.Add("a", 2, kNow, {});
  rights.Add("b", 1, kNow, {});
  rights.Extend(MakeRecord());
  EXPECT_EQ(rights.Until(), TimePoint());
}

TEST(PrimaryRights, EndWhenNoMemberHearsFromTheStoreForLong) {
  PrimaryRights rights{CoordinationSettings{}};
  rights.Add("a", 2, kNow, std::chrono::seconds(30));
  rights.Add("b", 2, kNow, std::chrono::seconds(30));
  rights.Extend(MakeRecord());
  EXPECT_EQ(rights.Until(), TimePoint());
}

TEST(PromiseLedger, AVmHoldsOutUntilItFollowsOrItsPromiseEnds) {
  PromiseLedger ledger;
  Beat beat;
  beat.vm = "c";
  beat.incarnation = 1;
  beat.version = 4;
  ledger.Note(beat, kNow).promised_until = kNow + milliseconds(2000);
  EXPECT_FALSE(ledger.Released("g", 5, "a", kNow));
  EXPECT_TRUE(ledger.Released("g", 5, "a", kNow + milliseconds(2000)));
  beat.version = 5;
  beat.busy = {"g"};
  ledger.Note(beat, kNow);
  EXPECT_FALSE(ledger.Released("g", 5, "a", kNow));
  beat.busy.clear();
  ledger.Note(beat, kNow);
  EXPECT_TRUE(ledger.Released("g", 5, "a", kNow));
}

TEST(PromiseLedger, ARestartedVmHoldsNothing) {
  PromiseLedger ledger;
  Beat beat;
  beat.vm = "c";
  beat.incarnation = 1;
  ledger.Note(beat, kNow).promised_until = kNow + milliseconds(2000);
  beat.incarnation = 2;
  ledger.Note(beat, kNow);
  EXPECT_TRUE(ledger.Released("g", 5, "a", kNow));
}

}  // namespace
}  // namespace amaranthlane::coordination
