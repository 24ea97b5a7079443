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

// The inputs and outputs of the transaction table.
namespace amaranthlane::transactions {

using outcomes::ConnectionId;
using outcomes::RequestId;

// Identifies a transaction to its caller. 128 random bits, so that nobody can guess the id of another caller's
// transaction.
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
// Parses the output of FormatTransactionId(). Throws ParseError on any other text.
TransactionId ParseTransactionId(std::string_view text);

struct TransactionIdHash {
  std::size_t operator()(const TransactionId& id) const { return id.low; }
};

// A transaction to be opened on a connection that is reserved for it.
struct NewTransaction {
  TransactionId id;
  std::string owner;
  GroupName group;
  ConnectionId connection = 0;
  Rank rank = Rank::kNormal;
  AcknowledgementLevel acknowledgement = AcknowledgementLevel::kReplicated;
  Term term = 0;
};

// The kinds of calls that run on a transaction's connection.
enum class CallKind : std::uint8_t { kStatement, kCommit, kRollback };

// A caller's call within a transaction.
struct TransactionCall {
  TransactionId transaction;
  std::string caller;
  RequestId request = 0;
  CallKind kind = CallKind::kStatement;
  TimePoint deadline;
  // kCommit only: the key under which the outcome of the commit can be queried. Empty: none was given.
  std::string idempotency_key;
};

// Why a transaction or a call in it ended.
enum class TransactionEndReason : std::uint8_t {
  kAnswered,
  kCallerGone,
  kConnectionLost,
  // The caller made no call for too long.
  kIdleDeadline,
  kTotalDeadline,
  // A call was not answered by its deadline.
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

// The transaction ended with an answered commit or rollback: its connection may serve others.
struct ReturnConnection {
  TransactionId transaction;
  ConnectionId connection = 0;
};

// Watch the replicas and call ReplicationReached when one has reached the position of the commit, or immediately if one
// already has.
struct AwaitCommitReplication {
  TransactionId transaction;
  LogPosition position;
};

// Answer the caller's call, and remove it from the scheduler if it is still queued. For a statement, kDone means that
// it ran in the transaction, and kNotRun that it has no lasting effect because no commit was sent. For a commit, the
// outcome is that of the transaction. For a rollback with which the transaction ends, it is always kDone, because
// without a commit nothing of the transaction has a lasting effect. A call of any kind that ends before it was sent,
// while the transaction stays open, is kNotRun.
struct AnswerCall {
  TransactionId transaction;
  RequestId request = 0;
  CallKind kind = CallKind::kStatement;
  Outcome outcome = Outcome::kUnknown;
  TransactionEndReason reason = TransactionEndReason::kAnswered;
  LogPosition position;
};

// The commit was sent with an idempotency key and its answer was lost. Query the outcome of the key from the group's
// primary over another connection, and pass it to CommitOutcomeLearned.
struct QueryCommitOutcome {
  TransactionId transaction;
  // The call of the commit, whose key is queried.
  RequestId commit = 0;
  // The term under which to query.
  Term term = 0;
  TimePoint not_before;
};

using TransactionAction = std::variant<SendCall, CloseTransactionConnection, ReturnConnection, AwaitCommitReplication,
                                       AnswerCall, QueryCommitOutcome>;
using TransactionActions = std::vector<TransactionAction>;

}  // namespace amaranthlane::transactions

#endif  // AMARANTHLANE_CORE_TRANSACTIONS_TRANSACTION_H_
