#include "core/outcomes/request_table.h"

#include <gtest/gtest.h>

#include "core/outcomes/outcome_errors.h"
#include "core/outcomes/retry_rule.h"

namespace amaranthlane::outcomes {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Term kTerm = 4;
constexpr RequestId kRequest = 1;
constexpr ConnectionId kConnection = 10;

class RequestTableTest : public testing::Test {
 protected:
  RequestTableTest() {
    this->table.SetLeadershipValidUntil(this->now + seconds(100));
    this->table.TermMoved(kTerm, this->now, this->actions);
  }

  void Open(StatementMode mode, const std::string& key = "", bool idempotent = false) {
    Request request;
    request.id = kRequest;
    request.idempotency_key = key;
    request.mode = mode;
    request.requirements.idempotent = idempotent;
    request.deadline = this->now + seconds(5);
    this->table.Open(request);
  }

  bool Dispatch(ConnectionId connection = kConnection) {
    return this->table.Dispatch(kRequest, connection, this->now, this->actions);
  }

  DeliveryResult Answer(Term term = kTerm, ConnectionId connection = kConnection, RequestId request = kRequest) {
    return this->table.Answered(
        {.connection = connection, .request = request, .term = term, .position = {.term = term, .offset = 7}},
        this->now, this->actions);
  }

  void Refuse(EndpointRefusalReason reason, ConnectionId connection = kConnection) {
    this->table.RefusedByEndpoint({.connection = connection, .request = kRequest, .reason = reason}, this->now,
                                  this->actions);
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

  void ExpectEnd(Outcome outcome, EndReason reason) {
    const auto* answer = this->Last<AnswerCaller>();
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(OutcomeName(answer->outcome), OutcomeName(outcome));
    EXPECT_EQ(EndReasonName(answer->reason), EndReasonName(reason));
    EXPECT_EQ(this->table.OpenRequests(), 0U);
    EXPECT_EQ(this->table.NextDeadline(), kNever);
  }

  TimePoint now = TimePoint(std::chrono::hours(1));
  RequestTable table{{}, 3};
  Actions actions;
};

TEST_F(RequestTableTest, AcknowledgesAWriteOnlyOnceAReplicaHasIt) {
  this->Open(StatementMode::kWrite, "k");
  ASSERT_TRUE(this->Dispatch());
  EXPECT_EQ(this->Answer(), DeliveryResult::kAccepted);
  ASSERT_NE(this->Last<AwaitReplication>(), nullptr);
  this->table.ReplicationReached(kTerm, 6, this->now, this->actions);
  this->table.ReplicationReached(kTerm - 1, 9, this->now, this->actions);
  EXPECT_EQ(this->Last<AnswerCaller>(), nullptr);
  this->table.ReplicationReached(kTerm, 7, this->now, this->actions);
  this->ExpectEnd(Outcome::kDone, EndReason::kAnswered);
}

TEST_F(RequestTableTest, ClosesAConnectionThatDeliversAnotherRequestsAnswer) {
  this->Open(StatementMode::kRead);
  ASSERT_TRUE(this->Dispatch());
  EXPECT_EQ(this->Answer(kTerm, kConnection, kRequest + 1), DeliveryResult::kMismatched);
  EXPECT_EQ(this->Last<CloseConnection>()->connection, kConnection);
  // The read is retried; its answer from the closed connection is ignored.
  EXPECT_NE(this->Last<Requeue>(), nullptr);
  EXPECT_EQ(this->Answer(), DeliveryResult::kMismatched);
  EXPECT_EQ(this->Last<AnswerCaller>(), nullptr);
}

TEST_F(RequestTableTest, RetriesALostWriteWithAKeyOverAFreshConnection) {
  this->Open(StatementMode::kWrite, "k");
  ASSERT_TRUE(this->Dispatch());
  this->table.ConnectionLost(kConnection, this->now, this->actions);
  ASSERT_NE(this->Last<Requeue>(), nullptr);
  EXPECT_TRUE(this->Last<Requeue>()->must_use_primary);
  EXPECT_TRUE(this->Last<Requeue>()->fresh_connection);
  EXPECT_TRUE(this->Dispatch(kConnection + 1));
}

TEST_F(RequestTableTest, NeverRetriesALostWriteWithoutAKey) {
  this->Open(StatementMode::kWrite);
  ASSERT_TRUE(this->Dispatch());
  this->table.ConnectionLost(kConnection, this->now, this->actions);
  EXPECT_EQ(this->Last<Requeue>(), nullptr);
  this->ExpectEnd(Outcome::kUnknown, EndReason::kConnectionLost);
}

TEST_F(RequestTableTest, ASilentConnectionIsClosedAtItsProgressDeadline) {
  this->Open(StatementMode::kRead);
  ASSERT_TRUE(this->Dispatch());
  this->now = this->table.NextDeadline();
  EXPECT_EQ(this->now, TimePoint(std::chrono::hours(1)) + RequestTableSettings().progress_timeout);
  this->table.Tick(this->now, this->actions);
  EXPECT_EQ(this->Last<CloseConnection>()->connection, kConnection);
  EXPECT_NE(this->Last<Requeue>(), nullptr);
}

TEST_F(RequestTableTest, ARefusedWriteIsRequeuedAndProvablyNotRun) {
  this->Open(StatementMode::kWrite);
  ASSERT_TRUE(this->Dispatch());
  this->Refuse(EndpointRefusalReason::kNotPrimary);
  ASSERT_NE(this->Last<Requeue>(), nullptr);
  EXPECT_FALSE(this->Last<Requeue>()->must_use_primary);
  this->now += seconds(5);
  this->table.Tick(this->now, this->actions);
  EXPECT_NE(this->Last<WithdrawQueued>(), nullptr);
  this->ExpectEnd(Outcome::kNotRun, EndReason::kDeadlinePassed);
}

TEST_F(RequestTableTest, ARefusalAfterALostAttemptLeavesTheOutcomeUnknown) {
  this->Open(StatementMode::kWrite, "k");
  ASSERT_TRUE(this->Dispatch());
  this->table.ConnectionLost(kConnection, this->now, this->actions);
  ASSERT_TRUE(this->Dispatch(kConnection + 1));
  this->Refuse(EndpointRefusalReason::kKeyConflict, kConnection + 1);
  this->ExpectEnd(Outcome::kUnknown, EndReason::kKeyConflict);
}

TEST_F(RequestTableTest, AnAnswerOfAnOlderTermIsNotAcknowledged) {
  this->Open(StatementMode::kWrite);
  ASSERT_TRUE(this->Dispatch());
  this->Answer(kTerm - 1);
  this->ExpectEnd(Outcome::kUnknown, EndReason::kTermMoved);
}

TEST_F(RequestTableTest, ANewTermRequeuesAWriteAwaitingReplication) {
  this->Open(StatementMode::kWrite, "k");
  ASSERT_TRUE(this->Dispatch());
  this->Answer();
  this->table.TermMoved(kTerm + 1, this->now, this->actions);
  EXPECT_TRUE(this->Last<Requeue>()->must_use_primary);
  this->table.ReplicationReached(kTerm + 1, 100, this->now, this->actions);
  EXPECT_EQ(this->Last<AnswerCaller>(), nullptr);
}

TEST_F(RequestTableTest, AnAnswerAfterTheLeadershipExpiredIsNotAcknowledged) {
  this->Open(StatementMode::kWrite, "k");
  ASSERT_TRUE(this->Dispatch());
  this->now += milliseconds(500);
  this->table.SetLeadershipValidUntil(this->now);
  this->Answer();
  this->ExpectEnd(Outcome::kUnknown, EndReason::kLeadershipLost);
}

TEST_F(RequestTableTest, SendsNothingAfterTheLeadershipExpired) {
  this->Open(StatementMode::kWrite, "k");
  this->table.SetLeadershipValidUntil(this->now);
  EXPECT_FALSE(this->Dispatch());
  this->ExpectEnd(Outcome::kNotRun, EndReason::kLeadershipLost);
}

TEST_F(RequestTableTest, SendsNothingOnceTheDeadlineHasPassed) {
  this->Open(StatementMode::kWrite, "k");
  this->now += seconds(5);
  EXPECT_FALSE(this->Dispatch());
  this->ExpectEnd(Outcome::kNotRun, EndReason::kDeadlinePassed);
}

TEST_F(RequestTableTest, AShutdownLeavesTheOutcomeOfASentWriteUnknown) {
  this->Open(StatementMode::kWrite, "k");
  ASSERT_TRUE(this->Dispatch());
  this->table.Shutdown(this->now, this->actions);
  EXPECT_NE(this->Last<CloseConnection>(), nullptr);
  this->ExpectEnd(Outcome::kUnknown, EndReason::kShutdown);
}

TEST_F(RequestTableTest, WorkOfADisconnectedCallerIsWithdrawnOrEndsUnanswered) {
  this->Open(StatementMode::kRead);
  this->table.CallerGone(kRequest, this->now, this->actions);
  EXPECT_NE(this->Last<WithdrawQueued>(), nullptr);
  this->Open(StatementMode::kRead);
  ASSERT_TRUE(this->Dispatch());
  this->table.CallerGone(kRequest, this->now, this->actions);
  EXPECT_EQ(this->table.OpenRequests(), 1U);
  EXPECT_EQ(this->Answer(), DeliveryResult::kAccepted);
  EXPECT_EQ(this->table.OpenRequests(), 0U);
  EXPECT_EQ(this->Last<AnswerCaller>(), nullptr);
}

TEST_F(RequestTableTest, ThrowsOnMisuse) {
  this->Open(StatementMode::kRead);
  EXPECT_THROW(this->Open(StatementMode::kRead), DuplicateRequestError);
  ASSERT_TRUE(this->Dispatch());
  Request other;
  other.id = kRequest + 1;
  other.deadline = this->now + seconds(5);
  this->table.Open(other);
  EXPECT_THROW(this->table.Dispatch(other.id, kConnection, this->now, this->actions), ConnectionInUseError);
}

TEST(RetryRuleTest, RejectsMissingAndInvalidKeys) {
  ServiceRequirements requirements;
  EXPECT_THROW(CheckIdempotencyKey(requirements, StatementMode::kWrite, ""), MissingIdempotencyKeyError);
  EXPECT_THROW(CheckIdempotencyKey(requirements, StatementMode::kWrite, "a b"), InvalidIdempotencyKeyError);
  EXPECT_THROW(CheckIdempotencyKey(requirements, StatementMode::kWrite, std::string(129, 'k')),
               InvalidIdempotencyKeyError);
  EXPECT_NO_THROW(CheckIdempotencyKey(requirements, StatementMode::kRead, ""));
  requirements.idempotent = true;
  EXPECT_NO_THROW(CheckIdempotencyKey(requirements, StatementMode::kWrite, ""));
}

}  // namespace
}  // namespace amaranthlane::outcomes
