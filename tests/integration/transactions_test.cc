#include <gtest/gtest.h>

#include <thread>
#include <vector>

#include "integration/fleet_fixture.h"
#include "integration/transaction_client.h"

namespace amaranthlane::testing {
namespace {

using Json = nlohmann::json;

// Longer than the time after which an idle transaction is ended.
constexpr std::chrono::seconds kIdleTransactionWait(6);
constexpr int kFollowingTransactions = 8;

std::size_t OtherVm(std::size_t vm) { return vm == 1 ? 2 : 1; }

// Runs transactions one after another, so that they reuse any connection that was released.
void CommitFollowingTransactions(FleetFixture& fleet, std::size_t vm, const std::string& counter) {
  for (int number = 0; number < kFollowingTransactions; ++number) {
    TransactionClient following_transaction(fleet, vm);
    EXPECT_EQ(following_transaction.Add(vm, counter).outcome, "done");
    EXPECT_EQ(following_transaction.Commit(vm).outcome, "done");
  }
  EXPECT_EQ(fleet.ReadExact(counter), kFollowingTransactions);
}

// Checks that the transaction that adds to a pair of counters was applied to both or neither, as `outcome` says.
void ExpectAtomic(FleetFixture& fleet, const std::string& name, const std::string& outcome) {
  const Json first = fleet.ReadExact(name + "-a");
  const Json second = fleet.ReadExact(name + "-b");
  EXPECT_EQ(first, second) << name << " was applied in part, outcome " << outcome;
  if (outcome == "done") {
    EXPECT_EQ(first, 1) << name;
  } else if (outcome == "not_run") {
    EXPECT_EQ(first, Json()) << name;
  }
}

TEST(TransactionsTest, TheCallerAbandonsItsTransaction) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  TransactionClient silent(fleet, 1);
  ASSERT_EQ(silent.Add(1, "silent").outcome, "done");
  CommitFollowingTransactions(fleet, 2, "while-open");
  std::this_thread::sleep_for(kIdleTransactionWait);
  CommitFollowingTransactions(fleet, 3, "afterwards");
  EXPECT_EQ(silent.Commit(1).outcome, "not_run");
  EXPECT_EQ(fleet.ReadExact("silent"), Json());
}

TEST(TransactionsTest, TheEntryIsKilled) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::size_t leader = fleet.Leader();
  const std::size_t entry = OtherVm(leader);
  TransactionClient orphan(fleet, entry);
  ASSERT_EQ(orphan.Add(entry, "orphan").outcome, "done");
  fleet.Vm(entry).Kill();
  CommitFollowingTransactions(fleet, leader, "while-open");
  std::this_thread::sleep_for(kIdleTransactionWait);
  CommitFollowingTransactions(fleet, leader, "afterwards");
  EXPECT_EQ(orphan.Commit(leader).outcome, "not_run");
  EXPECT_EQ(fleet.ReadExact("orphan"), Json());
}

TEST(TransactionsTest, TheLeaderIsKilled) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::size_t leader = fleet.Leader();
  const std::size_t entry = OtherVm(leader);
  TransactionClient orphan(fleet, entry);
  ASSERT_EQ(orphan.Add(entry, "orphan").outcome, "done");
  fleet.Vm(leader).Kill();
  CommitFollowingTransactions(fleet, entry, "afterwards");
  EXPECT_EQ(orphan.Commit(entry).outcome, "not_run");
  EXPECT_EQ(fleet.ReadExact("orphan"), Json());
}

// A statement runs past its time limit on its connection, and other transactions follow.
TEST(TransactionsTest, AStatementTimesOut) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  TransactionClient slow(fleet, 1);
  ASSERT_EQ(slow.Add(1, "slow").outcome, "done");
  const std::size_t primary = fleet.Primary();
  fleet.ControlEndpoint(primary, "POST", "service_time", Json{{"service_us", 700'000}});
  EXPECT_NE(slow.Add(1, "slow", std::chrono::milliseconds(200)).outcome, "done");
  fleet.ControlEndpoint(primary, "POST", "service_time", Json{{"service_us", 500}});
  CommitFollowingTransactions(fleet, 2, "afterwards");
  EXPECT_EQ(slow.Commit(1).outcome, "not_run");
  EXPECT_EQ(fleet.ReadExact("slow"), Json());
}

TEST(TransactionsTest, TheLeaderIsHandedOver) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  const std::size_t leader = fleet.Leader();
  const std::size_t entry = OtherVm(leader);
  TransactionClient finishing(fleet, entry);
  TransactionClient abandoned(fleet, entry);
  ASSERT_EQ(finishing.Add(entry, "finishing-a").outcome, "done");
  ASSERT_EQ(abandoned.Add(entry, "abandoned").outcome, "done");
  std::jthread ending([&] { EXPECT_EQ(fleet.Vm(leader).Terminate(std::chrono::seconds(20)), 0); });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  const CallerResponse second = finishing.Add(entry, "finishing-b");
  const CallerResponse committed = finishing.Commit(entry);
  ending.join();
  CommitFollowingTransactions(fleet, entry, "afterwards");
  EXPECT_EQ(abandoned.Commit(entry).outcome, "not_run");
  EXPECT_EQ(fleet.ReadExact("abandoned"), Json());
  if (second.outcome == "done") {
    ExpectAtomic(fleet, "finishing", committed.outcome);
  } else {
    EXPECT_EQ(committed.outcome, "not_run");
    EXPECT_EQ(fleet.ReadExact("finishing-a"), Json());
  }
}

// Concurrent transactions of many callers, some of them rolled back or abandoned, while the primary is killed.
TEST(TransactionsTest, ConcurrentTransactionsStayAtomic) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  constexpr int kCallers = 6;
  constexpr int kRounds = 8;
  std::vector<std::vector<std::string>> outcomes(kCallers);
  std::vector<std::jthread> callers;
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&fleet, &outcomes, caller] {
      const std::size_t vm = static_cast<std::size_t>(caller) % fleet.VmCount() + 1;
      for (int round = 0; round < kRounds; ++round) {
        const std::string name = "whole-" + std::to_string(caller) + "-" + std::to_string(round);
        TransactionClient transaction(fleet, vm);
        const bool first = transaction.Add(vm, name + "-a").outcome == "done";
        const bool both = first && transaction.Add(vm, name + "-b").outcome == "done";
        if (!both || round % 4 == 3) {
          // Without a commit none of its writes may become visible, rolled back or not.
          if (round != 3) {
            transaction.Rollback(vm);
          }
          outcomes[caller].emplace_back("not_run");
        } else {
          outcomes[caller].push_back(transaction.Commit(vm, "key-" + name).outcome);
        }
      }
    });
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  fleet.Endpoint(fleet.Primary()).Kill();
  callers.clear();
  for (int caller = 0; caller < kCallers; ++caller) {
    for (int round = 0; round < kRounds; ++round) {
      ExpectAtomic(fleet, "whole-" + std::to_string(caller) + "-" + std::to_string(round), outcomes[caller][round]);
    }
  }
}

// After the response to a commit is lost, the whole transaction is repeated with the same idempotency key.
TEST(TransactionsTest, RetriedWithItsKeyAfterALostResponse) {
  FleetFixture fleet(FleetOptions{});
  fleet.AwaitReady();
  TransactionClient first(fleet, 1);
  ASSERT_EQ(first.Add(1, "redone-a").outcome, "done");
  ASSERT_EQ(first.Add(1, "redone-b").outcome, "done");
  fleet.DropResponses("callers-vm-1", 1, "/commit");
  EXPECT_EQ(first.Commit(1, "key-redone").outcome, "unknown");
  TransactionClient second(fleet, 2);
  ASSERT_EQ(second.Add(2, "redone-a").outcome, "done");
  ASSERT_EQ(second.Add(2, "redone-b").outcome, "done");
  EXPECT_EQ(second.Commit(2, "key-redone").outcome, "done");
  ExpectAtomic(fleet, "redone", "done");
}

// The lag stays below the time after which a primary that no replica follows is replaced.
TEST(TransactionsTest, ACommitIsAcknowledgedByLaggingReplicas) {
  FleetFixture fleet(FleetOptions{.replication_lag = std::chrono::milliseconds(300)});
  fleet.AwaitReady();
  TransactionClient transaction(fleet, 1);
  ASSERT_EQ(transaction.Add(1, "lagging").outcome, "done");
  EXPECT_EQ(transaction.Commit(1).outcome, "done");
  EXPECT_EQ(fleet.ReadExact("lagging"), 1);
}

}  // namespace
}  // namespace amaranthlane::testing
