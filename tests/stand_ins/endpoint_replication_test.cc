#include <gtest/gtest.h>

#include "common/boot_clock.h"
#include "stand_ins/endpoint_fixture.h"

namespace amaranthlane::testing {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kConflict = 409;

TEST(EndpointReplicationTest, LagDelaysVisibilityOnReplica) {
  EndpointGroup group;
  group.ConfigureAll(1, 0);
  group.endpoints[1]->Control("lag", {{"lag_ms", 400}});
  const TimePoint written = BootClock::now();
  ASSERT_EQ(group.endpoints[0]->Post("/v1/statement", Autocommit(1, Add("stock", 5))).status, kOk);
  EXPECT_EQ(group.endpoints[2]->WaitForOffset(1)["position"]["offset"], 1);
  EXPECT_TRUE(group.ReadValue(1, 1, "stock").is_null());
  const nlohmann::json position = group.endpoints[1]->WaitForOffset(1);
  EXPECT_GE(BootClock::now() - written, std::chrono::milliseconds(400));
  EXPECT_EQ(position["position"]["offset"], 1);
  EXPECT_EQ(group.ReadValue(1, 1, "stock"), 5);
}

TEST(EndpointReplicationTest, DeposedPrimaryTruncatesDivergentEntriesAndTheirKeys) {
  EndpointGroup group;
  group.ConfigureAll(1, 0);
  group.endpoints[0]->Post("/v1/statement", Autocommit(1, Add("stock", 5)));
  group.endpoints[1]->WaitForOffset(1);
  group.endpoints[2]->WaitForOffset(1);
  // Both replicas move to the new term first, so they never receive the later commits of the old primary.
  group.Configure(1, 2, 1);
  group.Configure(2, 2, 1);
  for (int count = 0; count < 3; ++count) {
    const std::string key = "lost-" + std::to_string(count);
    ASSERT_EQ(group.endpoints[0]->Post("/v1/statement", Autocommit(1, Add("stock", 100), key)).status, kOk);
  }
  ASSERT_EQ(group.endpoints[1]->Post("/v1/statement", Autocommit(2, Add("stock", 1))).status, kOk);
  group.Configure(0, 2, 1);
  nlohmann::json position;
  const TimePoint deadline = BootClock::now() + std::chrono::seconds(3);
  while (position["synced_term"] != 2 && BootClock::now() < deadline) {
    position = group.endpoints[0]->Get("/v1/position").body;
  }
  EXPECT_EQ(group.endpoints[0]->WaitForOffset(2)["position"], nlohmann::json({{"term", 2}, {"offset", 2}}));
  EXPECT_EQ(group.ReadValue(0, 2, "stock"), 6);
  group.ConfigureAll(3, 0);
  EXPECT_EQ(group.endpoints[0]->Get("/v1/outcome?key=lost-0&term=3").body["known"], false);
}

TEST(EndpointReplicationTest, RejectsStatementsOfOtherTermsAndWritesOnReplicas) {
  EndpointGroup group;
  const nlohmann::json write = Autocommit(2, Add("stock", 1));
  EXPECT_EQ(group.endpoints[0]->Post("/v1/statement", Autocommit(0, Get("stock"))).body["type"],
            "urn:amaranthlane:unconfigured-term");
  group.ConfigureAll(2, 0);
  const HttpResponse stale = group.endpoints[0]->Post("/v1/statement", Autocommit(1, Add("stock", 1)));
  EXPECT_EQ(stale.status, kConflict);
  EXPECT_EQ(stale.body["type"], "urn:amaranthlane:stale-term");
  EXPECT_EQ(stale.body["outcome"], "not_run");
  EXPECT_EQ(stale.body["request_id"], 1);
  EXPECT_EQ(group.endpoints[0]->Post("/v1/statement", Autocommit(3, Add("stock", 1))).body["type"],
            "urn:amaranthlane:unconfigured-term");
  EXPECT_EQ(group.endpoints[1]->Post("/v1/statement", write).body["type"], "urn:amaranthlane:not-primary");
  EXPECT_EQ(group.Configure(0, 1, 1).body["type"], "urn:amaranthlane:stale-term");
  EXPECT_EQ(group.Configure(0, 2, 1).body["type"], "urn:amaranthlane:term-conflict");
  EXPECT_EQ(group.endpoints[0]->Post("/v1/statement", write).body["result"]["value"], 1);
}

}  // namespace
}  // namespace amaranthlane::testing
