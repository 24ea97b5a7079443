#include <gtest/gtest.h>

#include <future>
#include <thread>
#include <vector>

#include "integration/fleet_fixture.h"

namespace amaranthlane::testing {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds kFailoverLimit(12);

std::size_t OtherVm(std::size_t vm) { return vm == 1 ? 2 : 1; }

// Repeats an add with its key until it is done.
bool RetryUntilDone(FleetFixture& fleet, std::size_t vm, const std::string& counter, const std::string& key) {
  return FleetFixture::Await([&] { return fleet.Add(vm, counter, key).outcome == "done"; }, kFailoverLimit);
}

std::future<CallerAnswer> AddInBackground(FleetFixture& fleet, std::size_t vm, const std::string& counter,
                                          const std::string& key) {
  return std::async(std::launch::async,
                    [&fleet, vm, counter, key] { return fleet.Add(vm, counter, key, std::chrono::seconds(8)); });
}

void SetServiceTime(FleetFixture& fleet, std::chrono::microseconds time) {
  for (std::size_t endpoint = 1; endpoint <= fleet.EndpointCount(); ++endpoint) {
    fleet.ControlEndpoint(endpoint, "POST", "service_time", Json{{"service_us", time.count()}});
  }
}

TEST(AtMostOnceTest, RetriedThroughAnotherVmWhileTheFirstIsFrozen) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::size_t frozen = OtherVm(fleet.Leader());
  const std::size_t other = fleet.Leader();
  fleet.Vm(frozen).Stop();
  std::future<CallerAnswer> first = AddInBackground(fleet, frozen, "counter", "key-1");
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  EXPECT_TRUE(RetryUntilDone(fleet, other, "counter", "key-1"));
  fleet.Vm(frozen).Continue();
  EXPECT_EQ(first.get().outcome, "done");
  EXPECT_EQ(fleet.ReadExact("counter"), 1);
}

TEST(AtMostOnceTest, RetriedThroughAnotherVmWhileTheLeaderIsFrozen) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::size_t leader = fleet.Leader();
  SetServiceTime(fleet, std::chrono::milliseconds(150));
  std::vector<std::future<CallerAnswer>> first;
  // More than there are slots, so that the leader falls asleep over queued ones too.
  for (int number = 0; number < 8; ++number) {
    first.push_back(
        AddInBackground(fleet, leader, "counter-" + std::to_string(number), "key-" + std::to_string(number)));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  fleet.Vm(leader).Stop();
  for (int number = 0; number < 8; ++number) {
    const std::string text = std::to_string(number);
    EXPECT_TRUE(RetryUntilDone(fleet, OtherVm(leader), "counter-" + text, "key-" + text));
  }
  fleet.Vm(leader).Continue();
  for (int number = 0; number < 8; ++number) {
    first.at(number).get();
    EXPECT_EQ(fleet.ReadExact("counter-" + std::to_string(number)), 1);
  }
}

// The answer is lost on the way from the endpoint, between the VMs, or to the caller.
TEST(AtMostOnceTest, TheAnswerIsLostAfterTheCommit) {
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
      fleet.LoseAnswers(loss.route, 2, loss.match);
      EXPECT_TRUE(RetryUntilDone(fleet, entry, counter, "key-" + counter));
      fleet.LoseAnswers(loss.route, 0);
      EXPECT_EQ(fleet.ReadExact(counter), 1) << counter;
    }
  }
}

TEST(AtMostOnceTest, TheEndpointFailsOverBetweenTryAndRetry) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  fleet.LoseAnswers("callers-vm-1", 1, "/statements");
  EXPECT_EQ(fleet.Add(1, "counter", "key-1").outcome, "unknown");
  fleet.Endpoint(fleet.Primary()).Kill();
  EXPECT_TRUE(RetryUntilDone(fleet, 2, "counter", "key-1"));
  EXPECT_EQ(fleet.ReadExact("counter"), 1);
  const CallerAnswer told =
      fleet.Call(3, "GET", "/v1/groups/group-1/outcomes/key-1", Json(), {}, std::chrono::seconds(6));
  EXPECT_EQ(told.outcome, "done") << told.body;
}

TEST(AtMostOnceTest, TheLeaderFailsOverBetweenTryAndRetry) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::size_t leader = fleet.Leader();
  fleet.LoseAnswers("callers-vm-" + std::to_string(leader), 1, "/statements");
  EXPECT_EQ(fleet.Add(leader, "counter", "key-1").outcome, "unknown");
  fleet.Vm(leader).Kill();
  EXPECT_TRUE(RetryUntilDone(fleet, OtherVm(leader), "counter", "key-1"));
  EXPECT_EQ(fleet.ReadExact("counter"), 1);
}

TEST(AtMostOnceTest, BothFailOverBetweenTryAndRetry) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::size_t leader = fleet.Leader();
  fleet.LoseAnswers("callers-vm-" + std::to_string(leader), 1, "/statements");
  EXPECT_EQ(fleet.Add(leader, "counter", "key-1").outcome, "unknown");
  fleet.Endpoint(fleet.Primary()).Kill();
  fleet.Vm(leader).Kill();
  EXPECT_TRUE(RetryUntilDone(fleet, OtherVm(leader), "counter", "key-1"));
  EXPECT_EQ(fleet.ReadExact("counter"), 1);
}

// The same request by every VM at once, while answers get lost and the primary is killed.
TEST(AtMostOnceTest, SentByEveryVmAtOnce) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::string route = "endpoint-" + std::to_string(fleet.Primary());
  std::vector<std::future<CallerAnswer>> answers;
  fleet.LoseAnswers(route, 5, "/v1/statement");
  for (int number = 0; number < 10; ++number) {
    for (std::size_t vm = 1; vm <= fleet.VmCount(); ++vm) {
      const std::string text = std::to_string(number);
      answers.push_back(AddInBackground(fleet, vm, "counter-" + text, "key-" + text));
    }
  }
  fleet.Endpoint(fleet.Primary()).Kill();
  for (std::future<CallerAnswer>& answer : answers) {
    EXPECT_EQ(answer.get().outcome, "done");
  }
  for (int number = 0; number < 10; ++number) {
    EXPECT_EQ(fleet.ReadExact("counter-" + std::to_string(number)), 1) << number;
  }
}

}  // namespace
}  // namespace amaranthlane::testing
