#include "core/coordination/messages.h"

#include <gtest/gtest.h>

#include "common/error.h"
#include "common/json.h"
#include "core/coordination/grant_table.h"
#include "core/coordination/primary_lease.h"

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
  record.logs = {{"g", {{"e1", 5, "10.0.0.9:1", true}, {"e1", 7, "10.0.0.9:1", false}}}};
  record.restore_outlived = true;
  record.restored_to_beginning = true;
  return record;
}

TEST(CoordinationMessages, RecordRoundTripsThroughJson) {
  EXPECT_EQ(ParseCoordinationRecord(ToJson(MakeRecord())), MakeRecord());
}

TEST(CoordinationMessages, RecordWithoutMembersIsRejected) {
  nlohmann::json document = ToJson(MakeRecord());
  document.erase("members");
  EXPECT_THROW(ParseCoordinationRecord(document), ParseError);
}

TEST(CoordinationMessages, ReplyRoundsPositionAgesUp) {
  HeartbeatReply reply;
  reply.vm = "a";
  reply.fleet_view.positions = {{"g", {2, 9}, std::chrono::microseconds(1700)}};
  reply.record = MakeRecord();
  const HeartbeatReply read = ParseHeartbeatReply(ToJson(reply));
  EXPECT_GE(read.fleet_view.positions.front().age, reply.fleet_view.positions.front().age);
  EXPECT_EQ(read.record, reply.record);
}

TEST(CoordinationMessages, HeartbeatRoundTripsThroughJson) {
  HeartbeatRequest heartbeat;
  heartbeat.vm = "c";
  heartbeat.incarnation = 9;
  heartbeat.address = "10.0.0.3:7000";
  heartbeat.processor_share = {120};
  heartbeat.groups_in_use = {"g"};
  heartbeat.unreachable_endpoints = {"h"};
  heartbeat.leaving = true;
  const HeartbeatRequest read = ParseHeartbeatRequest(ToJson(heartbeat));
  EXPECT_EQ(read.incarnation, 9U);
  EXPECT_EQ(read.address, heartbeat.address);
  EXPECT_EQ(read.relay_address, "");
  EXPECT_EQ(read.processor_share, heartbeat.processor_share);
  EXPECT_EQ(read.groups_in_use, heartbeat.groups_in_use);
  EXPECT_EQ(read.unreachable_endpoints, heartbeat.unreachable_endpoints);
  EXPECT_TRUE(read.leaving);
  EXPECT_EQ(read.record, std::nullopt);
}

// A VM connects to these addresses later, where an invalid one could no longer be rejected.
TEST(CoordinationMessages, RejectsUnusableAddresses) {
  HeartbeatRequest heartbeat;
  heartbeat.vm = "c";
  CoordinationRecord record;
  for (const char* address : {"", "c:7000", "10.0.0.3:70000", "10.0.0.3:0", "10.0.0.3"}) {
    heartbeat.address = address;
    EXPECT_THROW(ParseHeartbeatRequest(ToJson(heartbeat)), ParseError) << address;
    record.members = {{"a", address}};
    EXPECT_THROW(ParseCoordinationRecord(ToJson(record)), ParseError) << address;
  }
  heartbeat.address = "10.0.0.3:7000";
  heartbeat.relay_address = "10.0.0.3:70000";
  EXPECT_THROW(ParseHeartbeatRequest(ToJson(heartbeat)), ParseError);
}

TEST(PrimaryLease, CountsFromTheOldestGrant) {
  const CoordinationSettings settings;
  PrimaryLease lease(settings);
  lease.AddGrant("a", 2, kNow, {});
  lease.Extend(MakeRecord(), MemberHistory(CoordinationSettings{}));
  EXPECT_EQ(lease.Expiry(), TimePoint());
  lease.AddGrant("b", 2, kNow - milliseconds(300), {});
  lease.Extend(MakeRecord(), MemberHistory(CoordinationSettings{}));
  EXPECT_EQ(lease.Expiry(), kNow - milliseconds(300) + settings.grant_duration - settings.clock_drift_margin);
}

TEST(PrimaryLease, IgnoresGrantsOfAnotherEpoch) {
  PrimaryLease lease{CoordinationSettings{}};
  lease.AddGrant("a", 2, kNow, {});
  lease.AddGrant("b", 1, kNow, {});
  lease.Extend(MakeRecord(), MemberHistory(CoordinationSettings{}));
  EXPECT_EQ(lease.Expiry(), TimePoint());
}

TEST(PrimaryLease, IsNotExtendedWhenNoMemberHasReachedTheStoreLately) {
  PrimaryLease lease{CoordinationSettings{}};
  lease.AddGrant("a", 2, kNow, std::chrono::seconds(30));
  lease.AddGrant("b", 2, kNow, std::chrono::seconds(30));
  lease.Extend(MakeRecord(), MemberHistory(CoordinationSettings{}));
  EXPECT_EQ(lease.Expiry(), TimePoint());
}

TEST(GrantTable, VmBlocksReleaseUntilItAdoptsTheRecordOrItsGrantExpires) {
  GrantTable grant_table;
  HeartbeatRequest heartbeat;
  heartbeat.vm = "c";
  heartbeat.incarnation = 1;
  heartbeat.version = 4;
  grant_table.RecordHeartbeat(heartbeat, kNow).granted_until = kNow + milliseconds(2000);
  EXPECT_FALSE(grant_table.Released("g", 5, "a", kNow));
  EXPECT_TRUE(grant_table.Released("g", 5, "a", kNow + milliseconds(2000)));
  heartbeat.version = 5;
  heartbeat.groups_in_use = {"g"};
  grant_table.RecordHeartbeat(heartbeat, kNow);
  EXPECT_FALSE(grant_table.Released("g", 5, "a", kNow));
  heartbeat.groups_in_use.clear();
  grant_table.RecordHeartbeat(heartbeat, kNow);
  EXPECT_TRUE(grant_table.Released("g", 5, "a", kNow));
}

TEST(GrantTable, RestartEndsTheGrant) {
  GrantTable grant_table;
  HeartbeatRequest heartbeat;
  heartbeat.vm = "c";
  heartbeat.incarnation = 1;
  grant_table.RecordHeartbeat(heartbeat, kNow).granted_until = kNow + milliseconds(2000);
  heartbeat.incarnation = 2;
  grant_table.RecordHeartbeat(heartbeat, kNow);
  EXPECT_TRUE(grant_table.Released("g", 5, "a", kNow));
}

}  // namespace
}  // namespace amaranthlane::coordination
