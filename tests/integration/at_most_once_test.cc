#include <gtest/gtest.h>

#include <future>
#include <thread>
#include <vector>

#include "integration/fleet_fixture.h"

namespace amaranthlane::testing {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds kFailoverTimeout(12);

std::size_t OtherVm(std::size_t vm) { return vm == 1 ? 2 : 1; }

// Repeats an add with the same idempotency key until its outcome is `done`.
bool RetryUntilDone(FleetFixture& fleet, std::size_t vm, const std::string& counter, const std::string& key) {
  return FleetFixture::Await([&] { return fleet.Add(vm, counter, key).outcome == "done"; }, kFailoverTimeout);
}

std::future<CallerResponse> AddInBackground(FleetFixture& fleet, std::size_t vm, const std::string& counter,
                                            const std::string& key) {
  return std::async(std::launch::async,
                    [&fleet, vm, counter, key] { return fleet.Add(vm, counter, key, std::chrono::seconds(8)); });
}

void SetServiceTime(FleetFixture& fleet, std::chrono::microseconds time) {
  for (std::size_t endpoint = 1; endpoint <= fleet.EndpointCount(); ++endpoint) {
    fleet.ControlEndpoint(endpoint, "POST", "service_time", Json{{"service_us", time.count()}});
  }
}

TEST(AtMostOnceTest, RetriedThroughAnotherVmWhileTheFirstIsPaused) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::size_t paused = OtherVm(fleet.Leader());
  const std::size_t other = fleet.Leader();
  fleet.Vm(paused).Pause();
  std::future<CallerResponse> original = AddInBackground(fleet, paused, "counter", "key-1");
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  EXPECT_TRUE(RetryUntilDone(fleet, other, "counter", "key-1"));
  fleet.Vm(paused).Resume();
  EXPECT_EQ(original.get().outcome, "done");
  EXPECT_EQ(fleet.ReadExact("counter"), 1);
}

TEST(AtMostOnceTest, RetriedThroughAnotherVmWhileTheLeaderIsPaused) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::size_t leader = fleet.Leader();
  SetServiceTime(fleet, std::chrono::milliseconds(150));
  std::vector<std::future<CallerResponse>> originals;
  // More requests than slots, so that the leader is paused with some of them queued.
  for (int number = 0; number < 8; ++number) {
    originals.push_back(
        AddInBackground(fleet, leader, "counter-" + std::to_string(number), "key-" + std::to_string(number)));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  fleet.Vm(leader).Pause();
  for (int number = 0; number < 8; ++number) {
    const std::string text = std::to_string(number);
    EXPECT_TRUE(RetryUntilDone(fleet, OtherVm(leader), "counter-" + text, "key-" + text));
  }
  fleet.Vm(leader).Resume();
  for (int number = 0; number < 8; ++number) {
    originals.at(number).get();
    EXPECT_EQ(fleet.ReadExact("counter-" + std::to_string(number)), 1);
  }
}

// The response is lost between endpoint and leader, between VMs, or between VM and caller.
TEST(AtMostOnceTest, TheResponseIsLostAfterTheCommit) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::size_t leader = fleet.Leader();
  const std::size_t entry = OtherVm(leader);
  struct Loss {
    std::string route;
    std::string match;
  };
  const std::vector<Loss> losses = {{"endpoint-" + std::to_string(fleet.Primary()), "/v1/statement"},
                                    {"peers-vm-" + std::to_string(leader), "/v1/peer/work"},
                                    {"callers-vm-" + std::to_string(entry), "/statements"}};
  for (const Loss& loss : losses) {
    for (int round = 0; round < 5; ++round) {
      const std::string counter = loss.route + "-" + std::to_string(round);
      fleet.DropResponses(loss.route, 2, loss.match);
      EXPECT_TRUE(RetryUntilDone(fleet, entry, counter, "key-" + counter));
      fleet.DropResponses(loss.route, 0);
      EXPECT_EQ(fleet.ReadExact(counter), 1) << counter;
    }
  }
}

TEST(AtMostOnceTest, TheEndpointFailsOverBetweenTryAndRetry) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  fleet.DropResponses("callers-vm-1", 1, "/statements");
  EXPECT_EQ(fleet.Add(1, "counter", "key-1").outcome, "unknown");
  fleet.Endpoint(fleet.Primary()).Kill();
  EXPECT_TRUE(RetryUntilDone(fleet, 2, "counter", "key-1"));
  EXPECT_EQ(fleet.ReadExact("counter"), 1);
  const CallerResponse response =
      fleet.Call(3, "GET", "/v1/groups/group-1/outcomes/key-1", Json(), {}, std::chrono::seconds(6));
  EXPECT_EQ(response.outcome, "done") << response.body;
}

TEST(AtMostOnceTest, TheLeaderFailsOverBetweenTryAndRetry) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::size_t leader = fleet.Leader();
  fleet.DropResponses("callers-vm-" + std::to_string(leader), 1, "/statements");
  EXPECT_EQ(fleet.Add(leader, "counter", "key-1").outcome, "unknown");
  fleet.Vm(leader).Kill();
  EXPECT_TRUE(RetryUntilDone(fleet, OtherVm(leader), "counter", "key-1"));
  EXPECT_EQ(fleet.ReadExact("counter"), 1);
}

TEST(AtMostOnceTest, BothFailOverBetweenTryAndRetry) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::size_t leader = fleet.Leader();
  fleet.DropResponses("callers-vm-" + std::to_string(leader), 1, "/statements");
  EXPECT_EQ(fleet.Add(leader, "counter", "key-1").outcome, "unknown");
  fleet.Endpoint(fleet.Primary()).Kill();
  fleet.Vm(leader).Kill();
  EXPECT_TRUE(RetryUntilDone(fleet, OtherVm(leader), "counter", "key-1"));
  EXPECT_EQ(fleet.ReadExact("counter"), 1);
}

// The same request is sent through every VM concurrently while responses are lost and the primary is killed.
TEST(AtMostOnceTest, SentByEveryVmAtOnce) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::string route = "endpoint-" + std::to_string(fleet.Primary());
  std::vector<std::future<CallerResponse>> responses;
  fleet.DropResponses(route, 5, "/v1/statement");
  for (int number = 0; number < 10; ++number) {
    for (std::size_t vm = 1; vm <= fleet.VmCount(); ++vm) {
      const std::string text = std::to_string(number);
      responses.push_back(AddInBackground(fleet, vm, "counter-" + text, "key-" + text));
    }
  }
  fleet.Endpoint(fleet.Primary()).Kill();
  for (std::future<CallerResponse>& response : responses) {
    EXPECT_EQ(response.get().outcome, "done");
  }
  for (int number = 0; number < 10; ++number) {
    EXPECT_EQ(fleet.ReadExact("counter-" + std::to_string(number)), 1) << number;
  }
}

TEST(AtMostOnceTest, IdempotencyKeysAreScopedToTheCaller) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  ASSERT_EQ(fleet.Execute(1, PutStatement("secret", "of caller-1", "shared-key")).outcome, "done");
  const std::vector<HttpHeader> other = {{"Authorization", std::string("Bearer ") + kOtherCallerKey},
                                         {"Idempotency-Key", "shared-key"}};
  const CallerResponse response =
      fleet.Call(2, "GET", "/v1/groups/group-1/outcomes/shared-key", nullptr, other, std::chrono::seconds(5));
  EXPECT_EQ(response.outcome, "unknown") << response.body;
  const nlohmann::json body{
      {"kind", "order"}, {"mode", "write"}, {"statement", {{"op", "put"}, {"key", "own"}, {"value", "of caller-2"}}}};
  const CallerResponse written =
      fleet.Call(2, "POST", "/v1/groups/group-1/statements", body, other, std::chrono::seconds(5));
  ASSERT_EQ(written.outcome, "done") << written.body;
  EXPECT_EQ(written.body.at("replayed"), false);
  EXPECT_EQ(fleet.ReadExact("own"), "of caller-2");
}

}  // namespace
}  // namespace amaranthlane::testing
