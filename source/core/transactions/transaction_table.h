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
  Duration idle_timeout = std::chrono::seconds(5);
  // The longest that a transaction may be open.
  Duration total_timeout = std::chrono::seconds(30);
  std::size_t max_transactions = 1024;
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
  // The endpoint answered on `connection` that it ran `request`. kMismatched: no such call runs there; the connection
  // is closed by an action, and the transaction that owns it ends.
  outcomes::DeliveryResult Answered(const outcomes::EndpointAnswer& answer, TimePoint now, TransactionActions& actions);
  // The endpoint refused a call before running it. The transaction ends.
  outcomes::DeliveryResult RefusedByEndpoint(const outcomes::EndpointRefusal& refusal, TimePoint now,
                                             TransactionActions& actions);
  // The outcome of a lost commit's key was learnt from the primary of `queried_term`: it is in the log at `position`,
  // or (nothing) not known there. The latter proves nothing, since the commit may still be on its way: it is asked
  // again.
  void CommitOutcomeLearned(const TransactionId& transaction, Term queried_term,
                            const std::optional<LogPosition>& position, TimePoint now, TransactionActions& actions);
  // A replica that matched its primary's log under `synced_term` has applied it up to `offset`.
  void ReplicationReached(Term synced_term, std::uint64_t offset, TimePoint now, TransactionActions& actions);
  void ConnectionLost(ConnectionId connection, TimePoint now, TransactionActions& actions);
  // The caller has gone: its transactions end, except those whose commit was sent, which end with the answer.
  void CallerGone(const std::string& owner, TimePoint now, TransactionActions& actions);
  // The moment until which this VM may act as the group's leader; later actions on it are withheld.
  void SetLeadershipValidUntil(TimePoint until);
  // This VM is no longer the leader: ends every transaction; nothing is acknowledged.
  void LeadershipEnded(TimePoint now, TransactionActions& actions);
  // The group's term, to be set before the first transaction. A higher one than before ends the open transactions;
  // commits that were sent are settled by their keys.
  void TermMoved(Term term, TimePoint now, TransactionActions& actions);
  // Refuses new transactions from now on; running ones may go on until `until`.
  void Drain(TimePoint until, TimePoint now);
  // Ends what is past a deadline.
  void Tick(TimePoint now, TransactionActions& actions);

  // When Tick has something to do; kNever if nothing is open.
  TimePoint NextDeadline() const;
  std::size_t OpenTransactions() const;

 private:
  enum class State : std::uint8_t { kIdle, kCallWaiting, kCallSent, kAwaitingReplication, kCommitInDoubt };
  struct Entry {
    NewTransaction transaction;
    State state = State::kIdle;
    TransactionCall call;
    bool connection_open = true;
    LogPosition position;
    TimePoint idle_deadline = kNever;
    TimePoint total_deadline = kNever;
    // The next deadline, as it stands in deadlines.
    TimePoint next_deadline = kNever;
  };
  struct DeadlineEntry {
    TimePoint time;
    TransactionId transaction;

    bool operator<(const DeadlineEntry& other) const {
      return this->time != other.time ? this->time < other.time : this->transaction < other.transaction;
    }
  };
  struct AwaitedOffset {
    std::uint64_t offset = 0;
    TransactionId transaction;

    bool operator<(const AwaitedOffset& other) const {
      return this->offset != other.offset ? this->offset < other.offset : this->transaction < other.transaction;
    }
  };

  Entry* Find(const TransactionId& transaction);
  Entry* FindByConnection(ConnectionId connection);
  // The entry whose call runs on the connection; null if that isn't the request.
  Entry* FindSent(ConnectionId connection, RequestId request);
  outcomes::DeliveryResult HandleMismatch(ConnectionId connection, TimePoint now, TransactionActions& actions);
  bool LeadershipValid(TimePoint now) const;
  bool CommitSent(const Entry& entry) const;
  void SetState(Entry& entry, State state);
  void BecomeIdle(Entry& entry, TimePoint now);
  void AnswerOpenCall(const Entry& entry, Outcome outcome, TransactionEndReason reason, TransactionActions& actions);
  void FinishCommit(Entry& entry, const LogPosition& position, TimePoint now, TransactionActions& actions);
  void AcknowledgeCommit(Entry& entry, TimePoint now, TransactionActions& actions);
  void CloseConnection(Entry& entry, TransactionActions& actions);
  void ReturnToPool(Entry& entry, TransactionActions& actions);
  // Ends a transaction in any state. A commit that was sent is settled by its key if it has one.
  void Terminate(Entry& entry, TransactionEndReason reason, TimePoint now, TransactionActions& actions);
  void QueryOutcomeOrEnd(Entry& entry, TransactionEndReason reason, TimePoint not_before, TimePoint now,
                         TransactionActions& actions);
  void End(Entry& entry, Outcome outcome, TransactionEndReason reason, TransactionActions& actions);
  void Remove(Entry& entry);
  void HandleDeadline(Entry& entry, TimePoint now, TransactionActions& actions);
  void TerminateAll(TransactionEndReason reason, TimePoint now, TransactionActions& actions);
  std::vector<TransactionId> AllIds() const;

  TransactionTableSettings settings;
  std::unordered_map<TransactionId, Entry, TransactionIdHash> entries;
  std::unordered_map<ConnectionId, TransactionId> connections;
  std::set<DeadlineEntry> deadlines;
  std::set<AwaitedOffset> awaited_offsets;
  TimePoint leadership_valid_until = TimePoint::min();
  Term term = 0;
  // When running transactions end for the drain; kNever: no drain.
  TimePoint drain_deadline = kNever;
};

}  // namespace amaranthlane::transactions

#endif  // AMARANTHLANE_CORE_TRANSACTIONS_TRANSACTION_TABLE_H_
