#include "proxy/endpoint_pool.h"

#include <gtest/gtest.h>

#include "proxy/fake_endpoint.h"

namespace amaranthlane::proxy {
namespace {

using std::chrono::milliseconds;

class EndpointPoolTest : public testing::Test {
 protected:
  EndpointPoolTest()
      : endpoint(this->loop, this->group, "e"),
        pool(this->loop, this->codec, "vm", this->endpoint.Entry(), PoolSettings{}, this->Events()) {
    this->group.primary = "e";
    this->pool.SetLimits(3, 3);
  }

  PoolEvents Events() {
    PoolEvents events;
    events.status_received = [this](const failover::EndpointEntry&, const failover::EndpointStatus& status, TimePoint) {
      this->statuses.push_back(status);
    };
    events.reachability_changed = [this](const failover::EndpointEntry&, bool reachable, const std::string& reason) {
      this->reachability_changes.push_back((reachable ? "reachable: " : "unreachable: ") + reason);
    };
    return events;
  }

  bool RunUntil(const std::function<bool()>& done, milliseconds timeout = milliseconds(5000)) {
    const TimePoint end = BootClock::now() + timeout;
    bool reached = done();
    while (!reached && BootClock::now() < end) {
      this->pool.Tick(BootClock::now(), milliseconds(100));
      this->loop.restart();
      this->loop.run_for(milliseconds(2));
      reached = done();
    }
    return reached;
  }

  std::shared_ptr<EndpointConnection> TakeOne(const statements::SessionValues& values = {}) {
    std::shared_ptr<EndpointConnection> taken;
    this->RunUntil([&] {
      taken = this->pool.Take(values);
      if (taken == nullptr) {
        this->pool.OpenFor(Rank::kUrgent, BootClock::now());
      }
      return taken != nullptr;
    });
    return taken;
  }

  boost::asio::io_context loop;
  TestCodec codec;
  FakeGroup group;
  FakeEndpoint endpoint;
  std::vector<failover::EndpointStatus> statuses;
  std::vector<std::string> reachability_changes;
  EndpointPool pool;
};

TEST_F(EndpointPoolTest, QueriesTheStatusOfAnIdleEndpoint) {
  EXPECT_TRUE(this->RunUntil([this] { return this->statuses.size() >= 2; }));
  EXPECT_TRUE(this->statuses.front().is_primary);
  EXPECT_EQ(this->statuses.front().term, 1U);
}

TEST_F(EndpointPoolTest, OpensNoMoreConnectionsThanItsLimit) {
  std::vector<std::shared_ptr<EndpointConnection>> taken;
  for (int round = 0; round < 3; ++round) {
    taken.push_back(this->TakeOne());
    ASSERT_NE(taken.back(), nullptr);
  }
  for (int round = 0; round < 20; ++round) {
    this->pool.OpenFor(Rank::kUrgent, BootClock::now());
    this->RunUntil([] { return false; }, milliseconds(10));
  }
  EXPECT_EQ(this->endpoint.max_open_connections, 3U);
}

TEST_F(EndpointPoolTest, ReservesTheLastConnectionForUrgentStatements) {
  for (int round = 0; round < 60; ++round) {
    this->pool.OpenFor(Rank::kNormal, BootClock::now());
    this->RunUntil([] { return false; }, milliseconds(5));
  }
  EXPECT_EQ(this->endpoint.max_open_connections, 2U);
}

TEST_F(EndpointPoolTest, PrefersAConnectionThatHoldsTheSessionValues) {
  const auto first = this->TakeOne();
  const auto second = this->TakeOne();
  first->session_state.values = {{"colour", "red"}};
  this->pool.Release(first, BootClock::now());
  this->pool.Release(second, BootClock::now());
  EXPECT_EQ(this->pool.Take({{"colour", "red"}}), first);
  EXPECT_EQ(this->pool.Take({{"colour", "blue"}}), second);
}

TEST_F(EndpointPoolTest, ASilentEndpointIsUnreachableUntilItAnswers) {
  ASSERT_TRUE(this->RunUntil([this] { return !this->statuses.empty(); }));
  this->endpoint.silent = true;
  EXPECT_TRUE(this->RunUntil([this] { return !this->pool.Reachable(); }));
  this->endpoint.silent = false;
  EXPECT_TRUE(this->RunUntil([this] { return this->pool.Reachable(); }));
  EXPECT_EQ(this->reachability_changes.size(), 2U);
}

TEST_F(EndpointPoolTest, AnEndpointAtItsConnectionLimitIsReachableAndRarelyTried) {
  this->endpoint.connection_limit = 0;
  for (int round = 0; round < 20; ++round) {
    this->pool.OpenFor(Rank::kUrgent, BootClock::now());
    this->RunUntil([] { return false; }, milliseconds(10));
  }
  EXPECT_TRUE(this->pool.Reachable());
  EXPECT_GE(this->endpoint.refused_connections, 1U);
  // Two attempts every 60 ms, and one for the status query.
  EXPECT_LE(this->endpoint.refused_connections, 12U);
}

TEST_F(EndpointPoolTest, ClosesConnectionsBeyondItsLimit) {
  const auto first = this->TakeOne();
  const auto second = this->TakeOne();
  this->pool.Release(first, BootClock::now());
  this->pool.Release(second, BootClock::now());
  this->pool.SetLimits(1, 1);
  EXPECT_TRUE(this->RunUntil([this] { return this->endpoint.OpenConnections() == 1; }));
}

TEST_F(EndpointPoolTest, AConnectionInsideATransactionIsNotReused) {
  const auto connection = this->TakeOne();
  connection->in_transaction = true;
  this->pool.Release(connection, BootClock::now());
  EXPECT_TRUE(connection->Closed());
  EXPECT_EQ(this->pool.IdleCount(), 0U);
}

TEST_F(EndpointPoolTest, ALaggingReplicaIsAvoidedLongerAfterEachRejection) {
  const TimePoint start = BootClock::now();
  this->pool.MarkLagging(start);
  EXPECT_TRUE(this->pool.Lagging(start + milliseconds(7)));
  EXPECT_FALSE(this->pool.Lagging(start + milliseconds(8)));
  this->pool.MarkLagging(start + milliseconds(10));
  EXPECT_TRUE(this->pool.Lagging(start + milliseconds(25)));
  this->pool.MarkCaughtUp();
  EXPECT_FALSE(this->pool.Lagging(start + milliseconds(25)));
}

}  // namespace
}  // namespace amaranthlane::proxy
