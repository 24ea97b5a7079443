#include "core/leadership/messages.h"

#include <gtest/gtest.h>

#include "common/error.h"

namespace amaranthlane::leadership {
namespace {

TEST(LeadershipMessagesTest, RecordRoundTripsThroughJson) {
  LeadershipRecord record;
  record.epoch = 7;
  record.leader = {.vm = "dub-a-1", .incarnation = 18446744073709551615ULL};
  record.successors = {"dub-b-1"};
  record.witnesses = {"dub-a-1", "dub-b-1", "dub-c-1"};
  record.unclosed = {{.epoch = 6, .witnesses = {"dub-a-1"}}};
  record.update_id = "dub-a-1-9-1";
  record.released = true;
  EXPECT_EQ(ParseLeadershipRecord(ToJson(record)), record);
}

TEST(LeadershipMessagesTest, MessagesRoundTripThroughJson) {
  const GrantRequest request{.holder = {"dub-a-1", 3}, .entries = {{"register-1", {4, 1}, false}, {"x", {5, 0}, true}}};
  EXPECT_EQ(ParseGrantRequest(ToJson(request)), request);
  const GrantReply reply{.witness = "dub-b-1", .entries = {{"register-1", {4, 1}, true, {4, 1}}}};
  EXPECT_EQ(ParseGrantReply(ToJson(reply)), reply);
  const CloseRequest close_request{.group = "register-1", .ballot = {4, 2}, .closer = {"dub-c-1", 8}, .decided = true};
  EXPECT_EQ(ParseCloseRequest(ToJson(close_request)), close_request);
  const CloseReply close_reply{.witness = "dub-b-1",
                               .group = "register-1",
                               .ballot = {4, 2},
                               .accepted = true,
                               .holder_alive = false,
                               .recovering = true,
                               .floor = {4, 2},
                               .remaining = std::chrono::milliseconds(1500)};
  EXPECT_EQ(ParseCloseReply(ToJson(close_reply)), close_reply);
}

TEST(LeadershipMessagesTest, RejectsRanksAbove32Bits) {
  nlohmann::json value = ToJson(CloseRequest{.group = "g", .ballot = {1, 0}, .closer = {"a", 1}, .decided = false});
  value["rank"] = 4294967296ULL;
  EXPECT_THROW(ParseCloseRequest(value), ParseError);
}

}  // namespace
}  // namespace amaranthlane::leadership
