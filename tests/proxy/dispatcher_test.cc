#include "proxy/dispatcher.h"

#include <gtest/gtest.h>

#include "proxy/stand_in_endpoint.h"

namespace amaranthlane::proxy {
namespace {

using std::chrono::milliseconds;

// A dispatcher with a primary and a replica.
class DispatcherTest : public testing::Test {
 protected:
  DispatcherTest()
      : primary(this->loop, this->group, "p"),
        replica(this->loop, this->group, "r"),
        primary_pool(this->loop, this->codec, "vm", this->primary.Entry(), PoolSettings{}, {}),
        replica_pool(this->loop, this->codec, "vm", this->replica.Entry(), PoolSettings{}, {}),
        dispatcher("dc-0", [this](TimePoint) {
          return KnownPrimary{this->usable, "p", this->hopeless};
        }) {
    this->group.primary = "p";
    for (EndpointPool* pool : {&this->primary_pool, &this->replica_pool}) {
      pool->SetLimits(4, 4);
      this->dispatcher.AddPool(pool->Endpoint().name, pool);
    }
  }

  // Submits work and notes the endpoint that it gets, or why it is refused.
  void Submit(Work work, const std::string& name) {
    this->dispatcher.Submit(std::move(work), [this, name](const Grant* grant, const Refusal* refusal) {
      this->order.push_back(name);
      this->outcome[name] = grant != nullptr ? grant->connection->Endpoint().name : refusal->why;
      if (grant != nullptr) {
        this->granted.push_back(*grant);
      }
    });
  }

  void Run(milliseconds time) {
    const TimePoint end = BootClock::now() + time;
    while (BootClock::now() < end) {
      this->dispatcher.Pump(BootClock::now());
      this->loop.restart();
      this->loop.run_for(milliseconds(1));
    }
  }

  static Work PrimaryWork(Rank rank) {
    Work work;
    work.rank = rank;
    work.needs_primary = true;
    return work;
  }

  static Work BoundedRead() {
    Work work;
    work.greatest_age = milliseconds(1000);
    return work;
  }

  boost::asio::io_context loop;
  WordCodec codec;
  StandInGroup group;
  StandInEndpoint primary;
  StandInEndpoint replica;
  EndpointPool primary_pool;
  EndpointPool replica_pool;
  Dispatcher dispatcher;
  bool usable = true;
  std::string hopeless;
  std::vector<std::string> order;
  std::map<std::string, std::string> outcome;
  std::vector<Grant> granted;
};

TEST_F(DispatcherTest, TheMostUrgentWorkGoesFirst) {
  this->Submit(PrimaryWork(Rank::kBulk), "bulk");
  this->Submit(PrimaryWork(Rank::kNormal), "normal");
  this->Submit(PrimaryWork(Rank::kUrgent), "urgent");
  this->Run(milliseconds(200));
  EXPECT_EQ(this->order, (std::vector<std::string>{"urgent", "normal", "bulk"}));
}

TEST_F(DispatcherTest, WorkForThePrimaryWaitsWhileItMayNotBeUsed) {
  this->usable = false;
  this->Submit(PrimaryWork(Rank::kUrgent), "write");
  this->Run(milliseconds(100));
  EXPECT_TRUE(this->outcome.empty());
  this->usable = true;
  this->Run(milliseconds(100));
  EXPECT_EQ(this->outcome["write"], "p");
}

TEST_F(DispatcherTest, WorkIsRefusedWhenItsTimeHasCome) {
  this->usable = false;
  Work work = PrimaryWork(Rank::kUrgent);
  work.refuse_at = BootClock::now() + milliseconds(50);
  this->Submit(work, "write");
  this->Run(milliseconds(150));
  EXPECT_EQ(this->outcome["write"], "the primary may not be used now");
}

// The caller may do better elsewhere, and learns it at once.
TEST_F(DispatcherTest, WorkForThePrimaryIsRefusedAtOnceOnAVmThatIsCutOff) {
  this->usable = false;
  this->hopeless = "too few members promise";
  this->Submit(PrimaryWork(Rank::kUrgent), "write");
  this->Submit(BoundedRead(), "read");
  this->dispatcher.Pump(BootClock::now());
  EXPECT_EQ(this->order, (std::vector<std::string>{"write"}));
  EXPECT_EQ(this->outcome["write"], "too few members promise");
}

TEST_F(DispatcherTest, WorkIsRefusedAtOnceWhenNoEndpointAnswers) {
  this->primary.Crash();
  this->replica.Crash();
  const TimePoint end = BootClock::now() + std::chrono::seconds(5);
  while ((this->primary_pool.Reachable() || this->replica_pool.Reachable()) && BootClock::now() < end) {
    this->primary_pool.Tick(BootClock::now(), milliseconds(20));
    this->replica_pool.Tick(BootClock::now(), milliseconds(20));
    this->loop.restart();
    this->loop.run_for(milliseconds(5));
  }
  this->Submit(PrimaryWork(Rank::kUrgent), "write");
  this->Submit(BoundedRead(), "read");
  this->dispatcher.Pump(BootClock::now());
  EXPECT_EQ(this->outcome["write"], "no endpoint of the group answers this VM");
  EXPECT_EQ(this->outcome["read"], "no endpoint of the group answers this VM");
}

TEST_F(DispatcherTest, AReadNeedsAPositionToGoToAReplica) {
  this->usable = false;
  this->Submit(BoundedRead(), "early");
  this->Run(milliseconds(100));
  EXPECT_TRUE(this->outcome.empty());
  this->dispatcher.NoteMemberPosition(BootClock::now(), {1, 0});
  this->Run(milliseconds(100));
  EXPECT_EQ(this->outcome["early"], "r");
  ASSERT_TRUE(this->granted.front().at_least.has_value());
}

TEST_F(DispatcherTest, APositionThatIsTooOldProvesNothing) {
  this->usable = false;
  this->dispatcher.NoteMemberPosition(BootClock::now() - milliseconds(1500), {1, 0});
  this->Submit(BoundedRead(), "read");
  this->Run(milliseconds(100));
  EXPECT_TRUE(this->outcome.empty());
}

TEST_F(DispatcherTest, AReadIsOwedItsOwnSessionsCommit) {
  this->usable = false;
  this->dispatcher.NoteMemberPosition(BootClock::now(), {1, 3});
  Work work = BoundedRead();
  work.own_position = LogPosition{1, 9};
  this->Submit(work, "read");
  this->Run(milliseconds(100));
  ASSERT_EQ(this->granted.size(), 1U);
  EXPECT_EQ(this->granted.front().at_least, (LogPosition{1, 9}));
}

TEST_F(DispatcherTest, CancelledWorkGetsNothing) {
  this->usable = false;
  const std::uint64_t number = this->dispatcher.Submit(
      PrimaryWork(Rank::kNormal), [this](const Grant*, const Refusal*) { this->order.emplace_back("cancelled"); });
  this->dispatcher.Cancel(number);
  this->usable = true;
  this->Run(milliseconds(100));
  EXPECT_TRUE(this->order.empty());
  EXPECT_EQ(this->dispatcher.Waiting(), 0U);
}

TEST_F(DispatcherTest, ADrainingReplicaGetsNoNewWork) {
  this->usable = false;
  this->dispatcher.NoteMemberPosition(BootClock::now(), {1, 0});
  this->replica.draining = true;
  this->replica_pool.SetEndpoint(this->replica.Entry(), BootClock::now());
  this->Submit(BoundedRead(), "read");
  this->Run(milliseconds(100));
  EXPECT_TRUE(this->outcome.empty());
}

}  // namespace
}  // namespace amaranthlane::proxy
