#include "proxy/dispatcher.h"

#include <gtest/gtest.h>

#include "proxy/fake_endpoint.h"

namespace amaranthlane::proxy {
namespace {

using std::chrono::milliseconds;

// A dispatcher for a group with a primary and a replica.
class DispatcherTest : public testing::Test {
 protected:
  DispatcherTest()
      : primary(this->loop, this->group, "p"),
        replica(this->loop, this->group, "r"),
        primary_pool(this->loop, this->codec, "vm", this->primary.Entry(), PoolSettings{}, {}),
        replica_pool(this->loop, this->codec, "vm", this->replica.Entry(), PoolSettings{}, {}),
        dispatcher("dc-0", [this](TimePoint) {
          return PrimaryStatus{this->usable, "p", this->unavailable_reason};
        }) {
    this->group.primary = "p";
    for (EndpointPool* pool : {&this->primary_pool, &this->replica_pool}) {
      pool->SetLimits(4, 4);
      this->dispatcher.AddPool(pool->Endpoint().name, pool);
    }
  }

  // Submits a request and records the endpoint whose connection it gets, or why it is refused.
  void Submit(ConnectionRequest request, const std::string& name) {
    this->dispatcher.Submit(std::move(request), [this, name](const Grant* grant, const Refusal* refusal) {
      this->order.push_back(name);
      this->outcome[name] = grant != nullptr ? grant->connection->Endpoint().name : refusal->reason;
      if (grant != nullptr) {
        this->granted.push_back(*grant);
      }
    });
  }

  void Run(milliseconds time) {
    const TimePoint end = BootClock::now() + time;
    while (BootClock::now() < end) {
      this->dispatcher.Dispatch(BootClock::now());
      this->loop.restart();
      this->loop.run_for(milliseconds(1));
    }
  }

  static ConnectionRequest PrimaryRequest(Rank rank) {
    ConnectionRequest request;
    request.rank = rank;
    request.needs_primary = true;
    return request;
  }

  static ConnectionRequest BoundedRead() {
    ConnectionRequest request;
    request.max_staleness = milliseconds(1000);
    return request;
  }

  boost::asio::io_context loop;
  TestCodec codec;
  FakeGroup group;
  FakeEndpoint primary;
  FakeEndpoint replica;
  EndpointPool primary_pool;
  EndpointPool replica_pool;
  Dispatcher dispatcher;
  bool usable = true;
  std::string unavailable_reason;
  std::vector<std::string> order;
  std::map<std::string, std::string> outcome;
  std::vector<Grant> granted;
};

TEST_F(DispatcherTest, TheMostUrgentRequestIsServedFirst) {
  this->Submit(PrimaryRequest(Rank::kBulk), "bulk");
  this->Submit(PrimaryRequest(Rank::kNormal), "normal");
  this->Submit(PrimaryRequest(Rank::kUrgent), "urgent");
  this->Run(milliseconds(200));
  EXPECT_EQ(this->order, (std::vector<std::string>{"urgent", "normal", "bulk"}));
}

TEST_F(DispatcherTest, ARequestForThePrimaryWaitsUntilThePrimaryIsUsable) {
  this->usable = false;
  this->Submit(PrimaryRequest(Rank::kUrgent), "write");
  this->Run(milliseconds(100));
  EXPECT_TRUE(this->outcome.empty());
  this->usable = true;
  this->Run(milliseconds(100));
  EXPECT_EQ(this->outcome["write"], "p");
}

TEST_F(DispatcherTest, ARequestIsRefusedAtItsDeadline) {
  this->usable = false;
  ConnectionRequest request = PrimaryRequest(Rank::kUrgent);
  request.deadline = BootClock::now() + milliseconds(50);
  this->Submit(request, "write");
  this->Run(milliseconds(150));
  EXPECT_EQ(this->outcome["write"], "this VM may not use the primary now");
}

// Refusing at once lets the caller retry on another VM, which may have a lease.
TEST_F(DispatcherTest, ARequestForThePrimaryIsRefusedAtOnceOnAPartitionedVm) {
  this->usable = false;
  this->unavailable_reason = "too few members grant a lease";
  this->Submit(PrimaryRequest(Rank::kUrgent), "write");
  this->Submit(BoundedRead(), "read");
  this->dispatcher.Dispatch(BootClock::now());
  EXPECT_EQ(this->order, (std::vector<std::string>{"write"}));
  EXPECT_EQ(this->outcome["write"], "too few members grant a lease");
}

TEST_F(DispatcherTest, ARequestIsRefusedAtOnceWhenNoEndpointIsReachable) {
  this->primary.Crash();
  this->replica.Crash();
  const TimePoint end = BootClock::now() + std::chrono::seconds(5);
  while ((this->primary_pool.Reachable() || this->replica_pool.Reachable()) && BootClock::now() < end) {
    this->primary_pool.Tick(BootClock::now(), milliseconds(20));
    this->replica_pool.Tick(BootClock::now(), milliseconds(20));
    this->loop.restart();
    this->loop.run_for(milliseconds(5));
  }
  this->Submit(PrimaryRequest(Rank::kUrgent), "write");
  this->Submit(BoundedRead(), "read");
  this->dispatcher.Dispatch(BootClock::now());
  EXPECT_EQ(this->outcome["write"], "no endpoint of the group is reachable");
  EXPECT_EQ(this->outcome["read"], "no endpoint of the group is reachable");
}

TEST_F(DispatcherTest, AReadGoesToAReplicaOnlyWithAKnownPosition) {
  this->usable = false;
  this->Submit(BoundedRead(), "early");
  this->Run(milliseconds(100));
  EXPECT_TRUE(this->outcome.empty());
  this->dispatcher.AddMemberPosition(BootClock::now(), {1, 0});
  this->Run(milliseconds(100));
  EXPECT_EQ(this->outcome["early"], "r");
  ASSERT_TRUE(this->granted.front().min_position.has_value());
}

TEST_F(DispatcherTest, APositionThatIsTooOldIsIgnored) {
  this->usable = false;
  this->dispatcher.AddMemberPosition(BootClock::now() - milliseconds(1500), {1, 0});
  this->Submit(BoundedRead(), "read");
  this->Run(milliseconds(100));
  EXPECT_TRUE(this->outcome.empty());
}

TEST_F(DispatcherTest, AReadMustSeeTheCommitOfItsOwnSession) {
  this->usable = false;
  this->dispatcher.AddMemberPosition(BootClock::now(), {1, 3});
  ConnectionRequest request = BoundedRead();
  request.session_position = LogPosition{1, 9};
  this->Submit(request, "read");
  this->Run(milliseconds(100));
  ASSERT_EQ(this->granted.size(), 1U);
  EXPECT_EQ(this->granted.front().min_position, (LogPosition{1, 9}));
}

TEST_F(DispatcherTest, ACancelledRequestIsNotServed) {
  this->usable = false;
  const std::uint64_t id = this->dispatcher.Submit(
      PrimaryRequest(Rank::kNormal), [this](const Grant*, const Refusal*) { this->order.emplace_back("cancelled"); });
  this->dispatcher.Cancel(id);
  this->usable = true;
  this->Run(milliseconds(100));
  EXPECT_TRUE(this->order.empty());
  EXPECT_EQ(this->dispatcher.WaitingCount(), 0U);
}

TEST_F(DispatcherTest, ADrainingReplicaGetsNoNewRequests) {
  this->usable = false;
  this->dispatcher.AddMemberPosition(BootClock::now(), {1, 0});
  this->replica.draining = true;
  this->replica_pool.SetEndpoint(this->replica.Entry(), BootClock::now());
  this->Submit(BoundedRead(), "read");
  this->Run(milliseconds(100));
  EXPECT_TRUE(this->outcome.empty());
}

}  // namespace
}  // namespace amaranthlane::proxy
