#include "core/transactions/transaction_table.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <set>

#include "common/error.h"
#include "core/transactions/transaction_errors.h"

namespace amaranthlane::transactions {
namespace {

using outcomes::DeliveryResult;
using std::chrono::seconds;

constexpr Term kTerm = 4;
constexpr TransactionId kId{.high = 1, .low = 2};
constexpr ConnectionId kConnection = 10;

class TransactionTableTest : public testing::Test {
 protected:
  TransactionTableTest() {
    this->table.SetLeadershipValidUntil(this->now + seconds(100));
    this->table.TermMoved(kTerm, this->now, this->actions);
    this->table.Open(this->MakeTransaction(kId, kConnection), this->now);
  }

  NewTransaction MakeTransaction(const TransactionId& id, ConnectionId connection) const {
    return {.id = id, .owner = "maker", .group = "group-1", .connection = connection, .term = kTerm};
  }

  void Call(CallKind kind, const std::string& key = "", const std::string& caller = "maker") {
    this->table.AddCall({.transaction = kId,
                         .caller = caller,
                         .request = ++this->request,
                         .kind = kind,
                         .deadline = this->now + seconds(2),
                         .idempotency_key = key},
                        this->now);
  }

  void Send(CallKind kind, const std::string& key = "") {
    this->Call(kind, key);
    ASSERT_TRUE(this->table.StartCall(kId, this->request, this->now, this->actions));
  }

  DeliveryResult Answer(RequestId request, Term term = kTerm) {
    return this->table.Answered(
        {.connection = kConnection, .request = request, .term = term, .position = {.term = term, .offset = 7}},
        this->now, this->actions);
  }

  template <typename ActionType>
  const ActionType* Last() const {
    for (auto action = this->actions.rbegin(); action != this->actions.rend(); ++action) {
      if (const auto* action_of_type = std::get_if<ActionType>(&*action)) {
        return action_of_type;
      }
    }
    return nullptr;
  }

  // The transaction has ended and its connection was closed and not returned.
  void ExpectTerminated(Outcome outcome, TransactionEndReason reason) {
    EXPECT_EQ(this->table.OpenTransactions(), 0U);
    EXPECT_EQ(this->Last<ReturnConnection>(), nullptr);
    ASSERT_NE(this->Last<CloseTransactionConnection>(), nullptr);
    EXPECT_EQ(this->Last<CloseTransactionConnection>()->connection, kConnection);
    ASSERT_NE(this->Last<AnswerCall>(), nullptr);
    EXPECT_EQ(OutcomeName(this->Last<AnswerCall>()->outcome), OutcomeName(outcome));
    EXPECT_EQ(this->Last<AnswerCall>()->reason, reason);
  }

  TimePoint now = TimePoint(std::chrono::hours(1));
  TransactionTable table{{}};
  TransactionActions actions;
  RequestId request = 0;
};

TEST_F(TransactionTableTest, ReturnsTheConnectionOnlyAfterAnAnsweredCommit) {
  this->Send(CallKind::kStatement);
  EXPECT_EQ(this->Answer(this->request), DeliveryResult::kAccepted);
  EXPECT_EQ(this->Last<ReturnConnection>(), nullptr);
  this->Send(CallKind::kCommit);
  this->Answer(this->request);
  EXPECT_EQ(this->Last<ReturnConnection>()->connection, kConnection);
  EXPECT_EQ(this->Last<AnswerCall>()->kind, CallKind::kStatement);
  this->table.ReplicationReached(kTerm, 7, this->now, this->actions);
  EXPECT_EQ(this->Last<AnswerCall>()->kind, CallKind::kCommit);
  EXPECT_EQ(this->Last<AnswerCall>()->outcome, Outcome::kDone);
  EXPECT_EQ(this->table.OpenTransactions(), 0U);
}

TEST_F(TransactionTableTest, RefusesASecondCallAndOtherCallers) {
  EXPECT_THROW(this->Call(CallKind::kStatement, "", "dealer"), TransactionNotFoundError);
  this->Call(CallKind::kStatement);
  EXPECT_THROW(this->Call(CallKind::kStatement), TransactionBusyError);
}

TEST_F(TransactionTableTest, AMismatchedAnswerEndsTheTransaction) {
  this->Send(CallKind::kStatement);
  EXPECT_EQ(this->Answer(this->request + 1), DeliveryResult::kMismatched);
  this->ExpectTerminated(Outcome::kNotRun, TransactionEndReason::kConnectionLost);
}

TEST_F(TransactionTableTest, ALostConnectionBeforeTheCommitMeansNotRun) {
  this->Send(CallKind::kStatement);
  this->table.ConnectionLost(kConnection, this->now, this->actions);
  this->ExpectTerminated(Outcome::kNotRun, TransactionEndReason::kConnectionLost);
}

TEST_F(TransactionTableTest, ALostCommitWithoutAKeyIsUnknown) {
  this->Send(CallKind::kCommit);
  this->table.ConnectionLost(kConnection, this->now, this->actions);
  this->ExpectTerminated(Outcome::kUnknown, TransactionEndReason::kConnectionLost);
}

TEST_F(TransactionTableTest, TheOutcomeOfALostCommitIsQueriedByItsKey) {
  this->Send(CallKind::kCommit, "k");
  this->table.ConnectionLost(kConnection, this->now, this->actions);
  ASSERT_NE(this->Last<QueryCommitOutcome>(), nullptr);
  this->table.CommitOutcomeLearned(kId, kTerm, std::nullopt, this->now, this->actions);
  EXPECT_GT(this->Last<QueryCommitOutcome>()->not_before, this->now);
  EXPECT_EQ(this->Last<AnswerCall>(), nullptr);
  this->table.CommitOutcomeLearned(kId, kTerm, LogPosition{.term = kTerm, .offset = 7}, this->now, this->actions);
  this->table.ReplicationReached(kTerm, 8, this->now, this->actions);
  EXPECT_EQ(this->Last<AnswerCall>()->outcome, Outcome::kDone);
}

TEST_F(TransactionTableTest, ADeposedPrimaryCannotResolveACommit) {
  this->Send(CallKind::kCommit, "k");
  this->table.TermMoved(kTerm + 1, this->now, this->actions);
  EXPECT_EQ(this->Last<QueryCommitOutcome>()->term, kTerm + 1);
  this->table.CommitOutcomeLearned(kId, kTerm, LogPosition{.term = kTerm, .offset = 7}, this->now, this->actions);
  EXPECT_EQ(this->Last<AwaitCommitReplication>(), nullptr);
  this->now += seconds(2);
  this->table.Tick(this->now, this->actions);
  this->ExpectTerminated(Outcome::kUnknown, TransactionEndReason::kCallDeadline);
}

TEST_F(TransactionTableTest, ACommitAnsweredAfterTheLeadershipExpiredIsNotAcknowledged) {
  this->Send(CallKind::kCommit, "k");
  this->table.SetLeadershipValidUntil(this->now);
  this->Answer(this->request);
  EXPECT_EQ(this->Last<AnswerCall>()->outcome, Outcome::kUnknown);
  EXPECT_EQ(this->Last<AnswerCall>()->reason, TransactionEndReason::kLeadershipLost);
}

TEST_F(TransactionTableTest, ACallThatWasNotSentLeavesTheTransactionOpen) {
  this->Call(CallKind::kStatement);
  this->table.RefuseCall(kId, this->request, this->now, this->actions);
  EXPECT_EQ(this->Last<AnswerCall>()->outcome, Outcome::kNotRun);
  this->Call(CallKind::kStatement);
  this->now += seconds(2);
  EXPECT_FALSE(this->table.StartCall(kId, this->request, this->now, this->actions));
  EXPECT_EQ(this->Last<AnswerCall>()->reason, TransactionEndReason::kCallDeadline);
  EXPECT_EQ(this->table.OpenTransactions(), 1U);
}

TEST_F(TransactionTableTest, AnIdleTransactionIsEndedAndItsConnectionClosed) {
  this->now = this->table.NextDeadline();
  this->table.Tick(this->now, this->actions);
  EXPECT_EQ(this->table.OpenTransactions(), 0U);
  EXPECT_EQ(this->Last<CloseTransactionConnection>()->connection, kConnection);
}

TEST_F(TransactionTableTest, ADrainEndsOpenTransactionsAtItsDeadline) {
  this->table.Drain(this->now + seconds(1), this->now);
  EXPECT_THROW(this->table.Open(this->MakeTransaction({.high = 3}, 11), this->now), TransactionsDrainingError);
  this->Send(CallKind::kStatement);
  this->now += seconds(1);
  this->table.Tick(this->now, this->actions);
  this->ExpectTerminated(Outcome::kNotRun, TransactionEndReason::kDrained);
}

TEST_F(TransactionTableTest, ACommitOfADisconnectedCallerStillEnds) {
  this->Send(CallKind::kCommit);
  this->table.CallerGone("maker", this->now, this->actions);
  EXPECT_EQ(this->table.OpenTransactions(), 1U);
  EXPECT_EQ(this->Answer(this->request), DeliveryResult::kAccepted);
}

TEST_F(TransactionTableTest, IdsRoundTripThroughTextAndOtherTextsAreRejected) {
  EXPECT_EQ(ParseTransactionId(FormatTransactionId(kId)), kId);
  EXPECT_THROW(ParseTransactionId("0000000000000001000000000000000G"), ParseError);
  EXPECT_THROW(ParseTransactionId("1"), ParseError);
}

// Drives a transaction table with a pool of four connections through a random sequence of events, and checks where each
// connection goes.
class ConnectionPoolScript {
 public:
  ConnectionPoolScript() {
    this->table.SetLeadershipValidUntil(this->now + seconds(3600));
    this->table.TermMoved(kTerm, this->now, this->actions);
  }

  void Step(std::uint32_t choice) {
    const std::uint64_t pick = choice / 8;
    const TransactionId id{.high = 0, .low = pick % this->next};
    const ConnectionId connection = pick % 4 + 1;
    const RequestId request = pick % 5;
    std::optional<ConnectionId> answered;
    switch (choice % 8) {
      case 0:
        this->Open();
        break;
      case 1:
      case 2:
        this->Call(id, request, static_cast<CallKind>(pick % 3));
        break;
      case 3:
      case 4:
        this->table.StartCall(id, request, this->now, this->actions);
        break;
      case 5:
        if (this->Answer(connection, request) == DeliveryResult::kAccepted) {
          answered = connection;
        }
        break;
      case 6:
        this->table.ConnectionLost(connection, this->now, this->actions);
        break;
      default:
        this->now += std::chrono::milliseconds(pick % 3000);
        this->table.Tick(this->now, this->actions);
        break;
    }
    this->Check(answered);
  }

 private:
  void Open() {
    if (this->pool.empty()) {
      return;
    }
    const ConnectionId connection = *this->pool.begin();
    this->pool.erase(connection);
    RC_ASSERT(this->owned.insert(connection).second);
    const TransactionId id{.high = 0, .low = this->next++};
    this->table.Open({.id = id, .owner = "maker", .group = "group-1", .connection = connection, .term = kTerm},
                     this->now);
  }

  void Call(const TransactionId& id, RequestId request, CallKind kind) {
    try {
      this->table.AddCall({.transaction = id,
                           .caller = "maker",
                           .request = request,
                           .kind = kind,
                           .deadline = this->now + seconds(1),
                           .idempotency_key = ""},
                          this->now);
    } catch (const TransactionNotFoundError&) {
      // The transaction has ended.
    } catch (const TransactionBusyError&) {
      // Another call is running.
    }
  }

  DeliveryResult Answer(ConnectionId connection, RequestId request) {
    return this->table.Answered({.connection = connection, .request = request, .term = kTerm, .position = {}},
                                this->now, this->actions);
  }

  // `answered`: the connection that delivered an accepted answer in this step.
  void Check(std::optional<ConnectionId> answered) {
    for (const TransactionAction& action : this->actions) {
      if (const auto* sent = std::get_if<SendCall>(&action)) {
        RC_ASSERT(this->owned.contains(sent->connection));
      } else if (const auto* returned = std::get_if<ReturnConnection>(&action)) {
        RC_ASSERT(answered == returned->connection);
        RC_ASSERT(this->owned.erase(returned->connection) == 1U);
        RC_ASSERT(this->pool.insert(returned->connection).second);
      } else if (const auto* closed = std::get_if<CloseTransactionConnection>(&action)) {
        // A new connection replaces it in the pool.
        this->owned.erase(closed->connection);
        this->pool.insert(closed->connection);
      }
    }
    this->actions.clear();
  }

  TransactionTable table{{}};
  TransactionActions actions;
  TimePoint now = TimePoint(std::chrono::hours(1));
  std::set<ConnectionId> pool = {1, 2, 3, 4};
  std::set<ConnectionId> owned;
  std::uint64_t next = 1;
};

RC_GTEST_PROP(TransactionConnectionsTest, AreNeverSharedNorReturnedWithoutAnAnsweredEnd, ()) {
  const auto choices = rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, 1U << 16));
  ConnectionPoolScript script;
  for (const std::uint32_t choice : *rc::gen::scale(5.0, choices)) {
    script.Step(choice);
  }
}

}  // namespace
}  // namespace amaranthlane::transactions
