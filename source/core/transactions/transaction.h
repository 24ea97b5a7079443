#ifndef AMARANTHLANE_CORE_TRANSACTIONS_TRANSACTION_H_
#define AMARANTHLANE_CORE_TRANSACTIONS_TRANSACTION_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/outcomes/request.h"
#include "core/types.h"

// The messages that go into and come out of the table of open transactions.
namespace amaranthlane::transactions {

using outcomes::ConnectionId;
using outcomes::RequestId;

// Names a transaction to its caller: 128 random bits, so that nobody can guess another caller's.
struct TransactionId {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  bool operator==(const TransactionId&) const = default;
  bool operator<(const TransactionId& other) const {
    return this->high != other.high ? this->high < other.high : this->low < other.low;
  }
};

// The id as 32 lower-case hexadecimal digits.
std::string FormatTransactionId(const TransactionId& id);
// Throws ParseError when `text` isn't such a text.
TransactionId ParseTransactionId(std::string_view text);

struct TransactionIdHash {
  std::size_t operator()(const TransactionId& id) const { return id.low; }
};

// A transaction that is to be opened on a connection that was reserved for it.
struct NewTransaction {
  TransactionId id;
  std::string owner;
  GroupName group;
  ConnectionId connection = 0;
  Rank rank = Rank::kNormal;
  AcknowledgementLevel acknowledgement = AcknowledgementLevel::kReplicated;
  Term term = 0;
};

// The calls that run on a transaction's connection.
enum class CallKind : std::uint8_t { kStatement, kCommit, kRollback };

// A caller's call within a transaction.
struct TransactionCall {
  TransactionId transaction;
  std::string caller;
  RequestId request = 0;
  CallKind kind = CallKind::kStatement;
  TimePoint deadline;
  // Only with kCommit: a key under which the commit's outcome can be asked for. Empty: none was given.
  std::string idempotency_key;
};

// Why a transaction or a call in it ended as it did.
enum class TransactionEndReason : std::uint8_t {
  kAnswered,
  kCallerGone,
  kConnectionLost,
  // Nothing was called for too long.
  kIdleDeadline,
  kTotalDeadline,
  // A call got no answer within its deadline.
  kCallDeadline,
  kLeadershipLost,
  kTermMoved,
  kDrained,
  // The scheduler refused the call; the transaction stays open.
  kOverload,
  // The endpoint refused the call before running it, e.g. for a stale term.
  kRefusedByEndpoint,
};
std::string_view TransactionEndReasonName(TransactionEndReason reason);

// Send the call on the transaction's connection.
struct SendCall {
  TransactionId transaction;
  RequestId request = 0;
  ConnectionId connection = 0;
  CallKind kind = CallKind::kStatement;
  Term term = 0;
};

// Close the transaction's connection; the endpoint rolls back what wasn't committed.
struct CloseTransactionConnection {
  TransactionId transaction;
  ConnectionId connection = 0;
};

// The transaction ended by an answered commit or rollback: its connection may serve others.
struct ReturnConnection {
  TransactionId transaction;
  ConnectionId connection = 0;
};

// Watch the replicas until one has reached the position of the commit, then report it by ReplicationReached; at once if
// one has already.
struct AwaitCommitReplication {
  TransactionId transaction;
  LogPosition position;
};

// Tell the caller the end of its call, and take the call out of the scheduler if it is still queued. For a statement
// kDone says that it ran in the transaction, and kNotRun that its effects can't stand, because no commit was sent. For
// a commit it is the transaction's outcome. A rollback is always kDone: without a commit nothing of the transaction can
// stand.
struct AnswerCall {
  TransactionId transaction;
  RequestId request = 0;
  CallKind kind = CallKind::kStatement;
  Outcome outcome = Outcome::kUnknown;
  TransactionEndReason reason = TransactionEndReason::kAnswered;
  LogPosition position;
};

// The commit was sent with an idempotency key and its answer is lost: ask the group's primary for the key's outcome
// over another connection, then report it by CommitOutcomeLearned.
struct QueryCommitOutcome {
  TransactionId transaction;
  // The commit's call, whose key is asked for.
  RequestId commit = 0;
  // The term to ask under.
  Term term = 0;
  TimePoint not_before;
};

using TransactionAction = std::variant<SendCall, CloseTransactionConnection, ReturnConnection, AwaitCommitReplication,
                                       AnswerCall, QueryCommitOutcome>;
using TransactionActions = std::vector<TransactionAction>;

}  // namespace amaranthlane::transactions

#endif  // AMARANTHLANE_CORE_TRANSACTIONS_TRANSACTION_H_
