#ifndef AMARANTHLANE_CORE_TRANSACTIONS_TRANSACTION_TABLE_H_
#define AMARANTHLANE_CORE_TRANSACTIONS_TRANSACTION_TABLE_H_

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/transactions/transaction.h"

namespace amaranthlane::transactions {

// How the table of transactions behaves.
struct TransactionTableSettings {
  // The longest that a transaction may wait for its caller's next call.
  Duration idle_limit = std::chrono::seconds(5);
  // The longest that a transaction may be open.
  Duration total_limit = std::chrono::seconds(30);
  std::size_t maximum_transactions = 1024;
};

// The open transactions of one group at its leader. A transaction owns its connection until a commit or rollback was
// answered; any other end closes the connection, so that nothing of it can reach the connection's next user.
class TransactionTable {
 public:
  explicit TransactionTable(const TransactionTableSettings& settings);

  // Throws TransactionsDrainingError, TooManyTransactionsError or TransactionInUseError.
  void Open(const NewTransaction& transaction, TimePoint now);
  // Throws TransactionNotFoundError if the transaction isn't open or not the caller's, and TransactionBusyError while
  // another call runs. Otherwise the call waits for its slot until StartCall.
  void Call(const TransactionCall& call, TimePoint now);
  // The call got its slot: sends it by an action. False: the call has ended before; the slot is to be freed.
  bool StartCall(const TransactionId& transaction, RequestId request, TimePoint now, TransactionActions& actions);
  // The scheduler refused the call before it was sent: the transaction stays open.
  void RefuseCall(const TransactionId& transaction, RequestId request, TimePoint now, TransactionActions& actions);
  // The endpoint answered on `connection` that it ran `request`. False: the answer matches no running call there; if a
  // transaction owns the connection it ends, and the connection must be closed.
  bool Answered(ConnectionId connection, RequestId request, Term term, const LogPosition& position, TimePoint now,
                TransactionActions& actions);
  // The endpoint refused `request` before running it. The transaction ends. False: as for Answered.
  bool RefusedByEndpoint(ConnectionId connection, RequestId request, TimePoint now, TransactionActions& actions);
  // The outcome of a lost commit's key was learnt: it is in the log at `position`, or (nothing) not known there. The
  // latter proves nothing, since the commit may still be on its way.
  void CommitSettled(const TransactionId& transaction, const std::optional<LogPosition>& position, TimePoint now,
                     TransactionActions& actions);
  void ReplicationReached(const LogPosition& position, TimePoint now, TransactionActions& actions);
  void ConnectionLost(ConnectionId connection, TimePoint now, TransactionActions& actions);
  // The caller's session closed: its transactions end, except those whose commit was sent, which end with its answer.
  void CallerGone(const std::string& owner, TimePoint now, TransactionActions& actions);
  void SetLeadershipValidUntil(TimePoint until);
  void LeadershipEnded(TimePoint now, TransactionActions& actions);
  // A higher term ends every transaction of a lower one.
  void TermMoved(Term term, TimePoint now, TransactionActions& actions);
  // Refuses new transactions from now on; running ones may go on until `until`.
  void Drain(TimePoint until);
  // Ends what is past a deadline.
  void Tick(TimePoint now, TransactionActions& actions);

  // When Tick has something to do; kNever if nothing is open.
  TimePoint NextDeadline() const;
  std::size_t OpenTransactions() const;

 private:
  enum class State : std::uint8_t { kIdle, kCallWaiting, kCallSent, kAwaitingReplication, kSettling };
  struct Entry {
    NewTransaction transaction;
    State state = State::kIdle;
    TransactionCall call;
    bool connection_open = true;
    LogPosition commit_position;
    TimePoint idle_deadline = kNever;
    TimePoint total_deadline = kNever;
    TimePoint due = kNever;
  };
  struct DueTime {
    TimePoint time;
    TransactionId transaction;
    auto operator<=>(const DueTime&) const = default;
  };

  Entry* FindOwned(const TransactionId& transaction, const std::string& caller);
  Entry* Find(const TransactionId& transaction);
  Entry* FindByConnection(ConnectionId connection);
  bool CommitSent(const Entry& entry) const;
  void UpdateDue(Entry& entry);
  void BecomeIdle(Entry& entry, TimePoint now);
  void CallAnswered(Entry& entry, const LogPosition& position, TimePoint now, TransactionActions& actions);
  void CommitAnswered(Entry& entry, const LogPosition& position, TransactionActions& actions);
  void Abort(Entry& entry, TransactionEndReason reason, TransactionActions& actions);
  void LoseCommit(Entry& entry, TransactionEndReason reason, TransactionActions& actions);
  void AnswerAndForget(Entry& entry, Outcome outcome, TransactionEndReason reason, TransactionActions& actions);
  void CloseConnection(Entry& entry, TransactionActions& actions);
  void Forget(Entry& entry);
  std::vector<TransactionId> AllIds() const;

  TransactionTableSettings settings;
  std::unordered_map<TransactionId, Entry, TransactionIdHash> entries;
  std::unordered_map<ConnectionId, TransactionId> connections;
  std::set<DueTime> due_times;
  TimePoint leadership_valid_until = TimePoint::min();
  Term term = 0;
  bool draining = false;
  TimePoint drain_until = kNever;
};

}  // namespace amaranthlane::transactions

#endif  // AMARANTHLANE_CORE_TRANSACTIONS_TRANSACTION_TABLE_H_
