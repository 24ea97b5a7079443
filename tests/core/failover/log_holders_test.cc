#include "core/failover/log_holders.h"

#include <gtest/gtest.h>

namespace amaranthlane::failover {
namespace {

using coordination::CoordinationRecord;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

EndpointEntry MakeEntry(const EndpointName& name, const std::string& address, bool draining = false) {
  EndpointEntry entry;
  entry.name = name;
  entry.group = "g";
  entry.address = address;
  entry.draining = draining;
  return entry;
}

EndpointDirectory MakeDirectory(const std::vector<EndpointEntry>& entries) {
  EndpointDirectory directory;
  for (const EndpointEntry& entry : entries) {
    directory.emplace(entry.name, entry);
  }
  return directory;
}

class LogHoldersTest : public testing::Test {
 protected:
  LogHoldersTest() { this->Use({MakeEntry("e1", "a:1"), MakeEntry("e2", "a:2")}, 0); }

  void Use(const std::vector<EndpointEntry>& entries, int second) {
    this->holders.OnDirectory(MakeDirectory(entries), this->synchronous, kStart + seconds(second));
  }

  std::vector<EndpointName> Departed(const GroupName& group = "g") const {
    std::vector<EndpointName> names;
    for (const coordination::LogHolder& log : this->holders.Departed(group)) {
      names.push_back(log.endpoint);
    }
    return names;
  }

  // The record of this era, with these holders.
  static CoordinationRecord MakeRecord(const coordination::LogHoldersByGroup& logs, StoreEra era = 1) {
    CoordinationRecord record;
    record.store_era = era;
    record.logs = logs;
    return record;
  }

  const std::vector<EndpointName> e2_only = {"e2"};
  std::map<GroupName, std::uint64_t> synchronous = {{"g", 1}};
  LogHolders holders;
};

TEST_F(LogHoldersTest, AreRememberedUntilTheyAreBack) {
  this->Use({MakeEntry("e1", "a:1")}, 1);
  EXPECT_EQ(this->Departed(), this->e2_only);
  EXPECT_EQ(this->holders.DepartedCount(), 1U);
  EXPECT_TRUE(this->Departed("h").empty());
  this->Use({MakeEntry("e1", "a:1"), MakeEntry("e2", "a:2")}, 2);
  EXPECT_TRUE(this->Departed().empty());
}

// The log of a draining endpoint is transferred.
TEST_F(LogHoldersTest, DrainedOnesAreReplacedByAnEndpointAtTheirAddress) {
  this->Use({MakeEntry("e1", "a:1"), MakeEntry("e2", "a:2", true)}, 1);
  this->Use({MakeEntry("e1", "a:1")}, 2);
  EXPECT_EQ(this->Departed(), this->e2_only);
  this->Use({MakeEntry("e1", "a:1"), MakeEntry("e3", "a:2")}, 3);
  EXPECT_TRUE(this->Departed().empty());
}

// Guards against an endpoint whose drain was called off, and that counts as drained when it crashes later.
TEST_F(LogHoldersTest, ADrainMayBeCalledOff) {
  this->Use({MakeEntry("e1", "a:1"), MakeEntry("e2", "a:2", true)}, 1);
  this->Use({MakeEntry("e1", "a:1"), MakeEntry("e2", "a:2")}, 2);
  this->Use({MakeEntry("e1", "a:1"), MakeEntry("e3", "a:2")}, 3);
  EXPECT_EQ(this->Departed(), this->e2_only);
}

// Guards against the promotion of an endpoint that lacks what a crashed one had: nobody transfers the log of that one.
TEST_F(LogHoldersTest, CrashedOnesAreNotReplacedByAnEndpointAtTheirAddress) {
  this->Use({MakeEntry("e1", "a:1"), MakeEntry("e3", "a:2")}, 1);
  EXPECT_EQ(this->Departed(), this->e2_only);
  EXPECT_TRUE(this->holders.AwaitsPosition("g"));
  this->holders.OnPositionReached("g", kStart);
  EXPECT_EQ(this->Departed(), this->e2_only);
  this->holders.OnPositionReached("g", kStart + seconds(2));
  EXPECT_TRUE(this->Departed().empty());
}

TEST_F(LogHoldersTest, EndedOnesAreForgottenOnceAnotherHasWhatThePrimaryHadThen) {
  this->Use({MakeEntry("e1", "a:1")}, 1);
  this->holders.OnProcessEnded("e2", kStart + seconds(3));
  this->holders.OnPositionReached("g", kStart + seconds(2));
  EXPECT_EQ(this->Departed(), this->e2_only);
  this->holders.OnPositionReached("g", kStart + seconds(3));
  EXPECT_TRUE(this->Departed().empty());
}

// Guards against the promotion of a replica that caught up once, while an endpoint that has lost only the store still
// lets commits be acknowledged.
TEST_F(LogHoldersTest, OnesThatMayStillRunAreNotForgottenThoughAnotherHasCaughtUp) {
  this->Use({MakeEntry("e1", "a:1")}, 1);
  this->holders.OnPositionReached("g", kStart + seconds(60));
  EXPECT_EQ(this->Departed(), this->e2_only);
  this->holders.OnProcessEnded("e2", kStart + seconds(61));
  this->holders.OnPosition("e2", {1, 5});
  this->holders.OnPositionReached("g", kStart + seconds(62));
  EXPECT_EQ(this->Departed(), this->e2_only);
}

// Guards against an endpoint that counts as one with all commits though it has started again with an empty log.
TEST_F(LogHoldersTest, AnEndpointThatStartsAgainHasAnotherLog) {
  EndpointEntry again = MakeEntry("e2", "a:2");
  again.incarnation = 7;
  this->Use({MakeEntry("e1", "a:1"), again}, 1);
  EXPECT_EQ(this->Departed(), this->e2_only);
  EXPECT_EQ(this->holders.All().at("g").size(), 3U);
  this->holders.OnPosition("e2", {1, 0});
  this->holders.OnPositionReached("g", kStart + seconds(2));
  EXPECT_TRUE(this->Departed().empty());
}

// Guards against one answer that counts for two logs.
TEST_F(LogHoldersTest, AnAnswerTellsOfTheLatestStartOnly) {
  EndpointEntry again = MakeEntry("e2", "a:2");
  again.incarnation = 7;
  this->Use({MakeEntry("e1", "a:1"), again}, 1);
  this->Use({MakeEntry("e1", "a:1")}, 2);
  EXPECT_EQ(this->holders.Departed("g").size(), 2U);
  ASSERT_EQ(this->holders.Askable("g").size(), 1U);
  EXPECT_EQ(this->holders.Askable("g").front().incarnation, 7U);
}

// The same before the directory tells that it has started again.
TEST_F(LogHoldersTest, AnEndpointThatReportsAnEarlierPositionHasLostItsLog) {
  this->holders.OnPosition("e2", {1, 5});
  EXPECT_TRUE(this->holders.ShowsLog("e2", {1, 5}, kStart));
  EXPECT_FALSE(this->holders.ShowsLog("e2", {1, 4}, kStart));
  this->Use({MakeEntry("e1", "a:1")}, 1);
  EXPECT_FALSE(this->holders.ShowsLog("e2", {1, 0}, kStart + seconds(1)));
  // A change of primary rolls logs back.
  CoordinationRecord record = MakeRecord(this->holders.All());
  record.groups["g"].term = 2;
  this->holders.OnRecord(record, kStart + seconds(2));
  EXPECT_TRUE(this->holders.ShowsLog("e2", {1, 4}, kStart + seconds(2)));
}

// Guards against an answer of the former start that counts for the log of the new one.
TEST_F(LogHoldersTest, AnAnswerBeforeTheEntryTellsNothingOfTheLog) {
  EndpointEntry again = MakeEntry("e2", "a:2");
  again.incarnation = 7;
  this->Use({MakeEntry("e1", "a:1"), again}, 3);
  EXPECT_FALSE(this->holders.ShowsLog("e2", {1, 5}, kStart + seconds(2)));
  EXPECT_TRUE(this->holders.ShowsLog("e2", {1, 5}, kStart + seconds(3)));
}

// The operator's way to let a group go on without a log that never returns.
TEST_F(LogHoldersTest, AreForgottenOnceCommitsWaitForNoReplica) {
  this->Use({MakeEntry("e1", "a:1")}, 1);
  this->synchronous["g"] = 0;
  this->Use({MakeEntry("e1", "a:1")}, 2);
  EXPECT_TRUE(this->Departed().empty());
  EXPECT_TRUE(this->holders.All().empty());
}

// Guards against new processes that know only the endpoints that the directory still lists.
TEST_F(LogHoldersTest, NewProcessesKnowThoseOfTheRecord) {
  LogHolders started;
  started.OnRecord(MakeRecord(this->holders.All()), kStart);
  EXPECT_EQ(started.Departed("g").size(), 2U);
  started.OnDirectory(MakeDirectory({MakeEntry("e1", "a:1")}), {}, kStart);
  ASSERT_EQ(started.Departed("g").size(), 1U);
  EXPECT_EQ(started.Departed("g").front().endpoint, "e2");
  EXPECT_EQ(started.All(), this->holders.All());
}

TEST_F(LogHoldersTest, AreForgottenWhenTheCoordinatorForgetsThem) {
  this->holders.OnRecord(MakeRecord(this->holders.All()), kStart);
  this->Use({MakeEntry("e1", "a:1")}, 1);
  this->holders.OnRecord(MakeRecord({{"g", {{"e1", 0, "a:1", false}}}}), kStart + seconds(2));
  EXPECT_TRUE(this->Departed().empty());
}

// Guards against the loss of a holder that only a lost record named.
TEST_F(LogHoldersTest, OutlastARecordThatTheStoreHasLost) {
  this->holders.OnRecord(MakeRecord(this->holders.All()), kStart);
  this->Use({MakeEntry("e1", "a:1")}, 1);
  this->holders.OnRecord(MakeRecord({{"g", {{"e1", 0, "a:1", false}}}}, 2), kStart + seconds(2));
  EXPECT_EQ(this->Departed(), this->e2_only);
}

}  // namespace
}  // namespace amaranthlane::failover
