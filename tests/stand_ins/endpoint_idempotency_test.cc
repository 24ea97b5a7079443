#include <gtest/gtest.h>

#include <future>
#include <thread>

#include "stand_ins/endpoint_fixture.h"

namespace amaranthlane::testing {
namespace {

constexpr unsigned kOk = 200;
constexpr std::chrono::milliseconds kShortTimeout(300);

TEST(EndpointIdempotencyTest, RepeatedKeyReturnsStoredResultAfterFailover) {
  EndpointGroup group;
  group.ConfigureAll(1, 0);
  const HttpResponse first = group.endpoints[0]->Post("/v1/statement", Autocommit(1, Add("orders", 3), "k"));
  EXPECT_EQ(first.body["replayed"], false);
  group.endpoints[1]->WaitForOffset(1);
  group.endpoints[0]->process.Kill();
  group.Configure(1, 2, 1);
  const HttpResponse again = group.endpoints[1]->Post("/v1/statement", Autocommit(2, Add("orders", 3), "k"));
  EXPECT_EQ(again.body["replayed"], true);
  EXPECT_EQ(again.body["result"], first.body["result"]);
  EXPECT_EQ(again.body["position"], first.body["position"]);
  EXPECT_EQ(group.endpoints[1]->Post("/v1/statement", Autocommit(2, Add("orders", 4), "k")).body["type"],
            "urn:amaranthlane:key-conflict");
  const nlohmann::json outcome = group.endpoints[1]->Get("/v1/outcome?key=k&term=2").body;
  EXPECT_EQ(outcome["known"], true);
  EXPECT_EQ(outcome["result"]["value"], 3);
  EXPECT_EQ(group.ReadValue(1, 2, "orders"), 3);
}

TEST(EndpointIdempotencyTest, RequestsReceivedWhileFrozenRunAfterUnfreezeAndApplyOnce) {
  EndpointGroup group;
  group.ConfigureAll(1, 0);
  EndpointProcess& primary = *group.endpoints[0];
  primary.Control("freeze", {{"on", true}});
  JsonClient first(primary.port, kShortTimeout);
  EXPECT_THROW(first.Post("/v1/statement", Autocommit(1, Add("orders", 3), "k")), HttpCallError);
  EXPECT_EQ(primary.State()["statements_run"], 0);
  auto second = std::async(std::launch::async,
                           [&] { return primary.Post("/v1/statement", Autocommit(1, Add("orders", 3), "k")); });
  primary.Control("freeze", {{"on", false}});
  EXPECT_EQ(second.get().status, kOk);
  EXPECT_EQ(primary.WaitForOffset(1)["position"]["offset"], 1);
  EXPECT_EQ(group.ReadValue(0, 1, "orders"), 3);
  // Both requests and the read ran, so the request that timed out was delayed by the freeze, not lost.
  EXPECT_EQ(primary.State()["statements_run"], 3);
}

TEST(EndpointIdempotencyTest, ConcurrentRequestsWithSameKeyApplyOnce) {
  EndpointGroup group;
  group.ConfigureAll(1, 0);
  group.endpoints[0]->Control("service_time", {{"service_us", 100000}});
  const auto send = [&] { return group.endpoints[0]->Post("/v1/statement", Autocommit(1, Add("orders", 3), "k")); };
  auto first = std::async(std::launch::async, send);
  auto second = std::async(std::launch::async, send);
  const bool first_replayed = first.get().body["replayed"];
  const bool second_replayed = second.get().body["replayed"];
  EXPECT_NE(first_replayed, second_replayed);
  EXPECT_EQ(group.ReadValue(0, 1, "orders"), 3);
}

}  // namespace
}  // namespace amaranthlane::testing
