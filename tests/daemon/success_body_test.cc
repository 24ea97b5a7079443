#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "daemon/caller_request.h"

namespace amaranthlane::daemon {
namespace {

// Guards against a kind of work, which the caller chooses, or the name of an endpoint that changes the response.
TEST(SuccessBodyTest, NamesStayInTheirMembers) {
  for (const std::string& name : {std::string("a\",\"outcome\":\"not_run"), std::string("a\\"), std::string("a\nb"),
                                  std::string("\xd1\x8f"), std::string("\xff")}) {
    WorkRequest work;
    work.kind = WorkKind::kBegin;
    work.group = "g";
    WorkReply reply;
    reply.outcome = Outcome::kDone;
    reply.endpoint = name;
    reply.result = R"({"a":1})";
    const nlohmann::json begun = nlohmann::json::parse(FormatSuccessBody(work, name, reply), nullptr, false);
    ASSERT_TRUE(begun.is_object()) << name;
    EXPECT_EQ(begun.size(), 2U);
    EXPECT_EQ(begun["outcome"], "done");
    work.kind = WorkKind::kStatement;
    const nlohmann::json answered = nlohmann::json::parse(FormatSuccessBody(work, name, reply), nullptr, false);
    ASSERT_TRUE(answered.is_object()) << name;
    EXPECT_EQ(answered.size(), 6U);
    EXPECT_EQ(answered["outcome"], "done");
    EXPECT_EQ(answered["result"]["a"], 1);
    EXPECT_EQ(answered["served_by"].size(), 2U);
  }
}

// The caller gets the name of its transaction as it may send it back.
TEST(SuccessBodyTest, ATransactionKeepsItsKind) {
  WorkRequest work;
  work.kind = WorkKind::kBegin;
  work.group = "g";
  const std::string kind = "a\"~/\\ \n\xd1\x8f";
  const nlohmann::json begun = nlohmann::json::parse(FormatSuccessBody(work, kind, WorkReply{}), nullptr, false);
  ASSERT_TRUE(begun.is_object());
  const std::string name = begun["transaction"].get<std::string>();
  const CallerRequest parsed =
      ParseCallerRequest({"POST", "/v1/transactions/" + net::EncodePathSegment(name) + "/commit", {}, ""});
  EXPECT_EQ(parsed.group, "g");
  EXPECT_EQ(parsed.kind, kind);
}

}  // namespace
}  // namespace amaranthlane::daemon
